package org.cypressweir.sidecar;

/**
 * The configuration in force, which a reload replaces. It is replaced on the event loop only and may be read by
 * any thread.
 */
final class CurrentConfiguration {

    private volatile SidecarConfiguration configuration;

    CurrentConfiguration(SidecarConfiguration configuration) {
        this.configuration = configuration;
    }

    SidecarConfiguration get() {
        return configuration;
    }

    void replace(SidecarConfiguration next) {
        configuration = next;
    }
}
