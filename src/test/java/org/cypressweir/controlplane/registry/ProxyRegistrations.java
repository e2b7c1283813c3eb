package org.cypressweir.controlplane.registry;

/** Registrations for tests. */
public final class ProxyRegistrations {

    private ProxyRegistrations() {}

    public static ProxyRegistration of(String name, long incarnation, long number) {
        return new ProxyRegistration(
                name,
                incarnation,
                number,
                "10.0.0.1:7000",
                "10.0.0.1:7500",
                "z",
                "s",
                false,
                new ApplicationInstance(name + incarnation, "s", "10.0.0.1:80", 4, false, 0));
    }
}
