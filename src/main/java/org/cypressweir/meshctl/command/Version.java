package org.cypressweir.meshctl.command;

import picocli.CommandLine.IVersionProvider;

/** The version that the build has written into the archive's manifest. */
public final class Version implements IVersionProvider {

    @Override
    public String[] getVersion() {
        String version = Version.class.getPackage().getImplementationVersion();
        return new String[] {"cypressweir " + (version == null ? "(not packaged)" : version)};
    }
}
