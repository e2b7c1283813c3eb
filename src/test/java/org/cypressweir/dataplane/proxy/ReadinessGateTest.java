package org.cypressweir.dataplane.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.Set;
import org.cypressweir.controlplane.consensus.ProposalNumber;
import org.cypressweir.testkit.PlantedFault;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A proxy starts with a confirmed configuration, or after a time-out with the one that it has. */
class ReadinessGateTest {

    private static final int SCENARIOS = 300;

    @TempDir
    Path folder;

    @Test
    void confirmedConfigurationHasAllAcknowledgedChanges() {
        assertThat(ProxyStartScenario.firstViolation(SCENARIOS)).isNull();
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource(
            delimiter = '~',
            value = {
                "a confirmation of any age is accepted "
                        + "~ now - confirmation.asOf <= MAX_CONTACT_AGE_MICROS && ownVersion ~ ownVersion",
                "an answer counts as of its arrival ~ new Confirmation(version, queriedAt - ageMicros) "
                        + "~ new Confirmation(version, now - ageMicros)",
                "an older configuration than the confirmed one is accepted "
                        + "~ && ownVersion.compareTo(confirmation.version) >= 0 ~ ",
                "a partitioned controller confirms ~ version != null && ageMicros >= 0 && queriedAt <= now "
                        + "~ version != null",
                "the proxy doesn't wait for a confirmation "
                        + "~ started = isConfirmed || now - configuredSince >= timeoutMicros; "
                        + "~ started = true;",
                "the proxy waits for a confirmation for ever "
                        + "~ started = isConfirmed || now - configuredSince >= timeoutMicros; "
                        + "~ started = isConfirmed;",
            })
    void eachPlantedFaultIsFound(String fault, String text, String replacement) throws Exception {
        ClassLoader planted = new PlantedFault(
                folder,
                Path.of("src/main/java/org/cypressweir/dataplane/proxy"),
                "ReadinessGate.java",
                text,
                replacement == null ? "" : replacement,
                name -> name.startsWith("org.cypressweir.dataplane.proxy.ProxyStartScenario"));
        assertThat(planted.loadClass("org.cypressweir.dataplane.proxy.ProxyStartScenario")
                        .getMethod("firstViolation", int.class)
                        .invoke(null, SCENARIOS))
                .as(fault)
                .isNotNull();
    }

    @Test
    void partitionedControllersAreNotPreferred() {
        ReadinessGate gate = new ReadinessGate();
        gate.contactAgeReceived("a", -1);
        gate.contactAgeReceived("b", ReadinessGate.MAX_CONTACT_AGE_MICROS);
        gate.contactAgeReceived("c", ReadinessGate.MAX_CONTACT_AGE_MICROS + 1);
        assertThat(gate.inContact(Set.of("a", "b", "c", "d"))).containsExactlyInAnyOrder("b", "d");
        assertThat(gate.inContact(Set.of("a", "c"))).containsExactlyInAnyOrder("a", "c");
        gate.contactAgeReceived("c", 0);
        assertThat(gate.inContact(Set.of("a", "c"))).containsExactly("c");
    }

    /** A controller that was partitioned announces old voters; the proxy keeps to the newer ones. */
    @Test
    void oldVotersAreIgnored() {
        ConfigurationSubscriber subscriber = new ConfigurationSubscriber();
        subscriber.votersAnnounced(ProposalNumber.of("5@a"), Set.of("a", "b", "d"));
        subscriber.votersAnnounced(ProposalNumber.of("3@a"), Set.of("a", "b", "c"));
        assertThat(subscriber.voters()).containsExactlyInAnyOrder("a", "b", "d");
        subscriber.votersAnnounced(ProposalNumber.of("6@a"), Set.of());
        subscriber.votersAnnounced(ProposalNumber.of("5@b"), Set.of("b", "d", "e"));
        assertThat(subscriber.voters()).containsExactlyInAnyOrder("b", "d", "e");
    }
}
