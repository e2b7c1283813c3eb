package org.cypressweir.controlplane.registry;

/** Berths for tests. */
final class ProxyRegistrations {

    private ProxyRegistrations() {}

    static ProxyRegistration of(String name, long life, long number) {
        return new ProxyRegistration(
                name,
                life,
                number,
                "10.0.0.1:7000",
                "10.0.0.1:7500",
                "z",
                "s",
                false,
                new ApplicationInstance(name + life, "s", "10.0.0.1:80", 4, false, 0));
    }
}
