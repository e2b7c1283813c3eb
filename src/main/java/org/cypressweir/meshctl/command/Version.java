package org.cypressweir.meshctl.command;

import picocli.CommandLine.IVersionProvider;

/** Reads the version from the manifest of the JAR file. */
public final class Version implements IVersionProvider {

    @Override
    public String[] getVersion() {
        String version = Version.class.getPackage().getImplementationVersion();
        return new String[] {"cypressweir " + (version == null ? "(not packaged)" : version)};
    }
}
