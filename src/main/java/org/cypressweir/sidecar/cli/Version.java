package org.cypressweir.sidecar.cli;

import picocli.CommandLine.IVersionProvider;

/** Provides the version that the build writes into the archive's manifest. */
final class Version implements IVersionProvider {

    @Override
    public String[] getVersion() {
        String version = Version.class.getPackage().getImplementationVersion();
        return new String[] {"cypressweir-sidecar " + (version == null ? "(not packaged)" : version)};
    }
}
