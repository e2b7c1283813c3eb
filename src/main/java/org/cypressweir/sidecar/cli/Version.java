package org.cypressweir.sidecar.cli;

import picocli.CommandLine.IVersionProvider;

/** The version that the build has written into the archive. */
final class Version implements IVersionProvider {

    @Override
    public String[] getVersion() {
        String version = Version.class.getPackage().getImplementationVersion();
        return new String[] {"cypressweir-sidecar " + (version == null ? "(not packaged)" : version)};
    }
}
