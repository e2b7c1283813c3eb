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

/** A pilot begins with what a majority confirms, or after a while with what it has, and never goes back. */
class ReadinessGateTest {

    private static final int STARTS = 300;

    @TempDir
    Path folder;

    @Test
    void whatIsConfirmedHasAllThatWasAnswered() {
        assertThat(ProxyStartScenario.broken(STARTS)).isNull();
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource(
            delimiter = '~',
            value = {
                "any age will do ~ now - one.asOf <= MOST_AGE && own ~ own",
                "an answer counts as of when it comes ~ new Confirmed(stamp, asked - age) "
                        + "~ new Confirmed(stamp, now - age)",
                "what it has need not be what is confirmed ~ && own.compareTo(one.stamp) >= 0 ~ ",
                "a harbour that knows nothing confirms ~ stamp != null && age >= 0 && asked <= now "
                        + "~ stamp != null",
                "it doesn't wait for a confirmation ~ begun = isConfirmed || now - havingSince >= patience; "
                        + "~ begun = true;",
                "it waits for a confirmation for ever ~ begun = isConfirmed || now - havingSince >= patience; "
                        + "~ begun = isConfirmed;",
            })
    void eachFaultIsFound(String fault, String text, String instead) throws Exception {
        ClassLoader planted = new PlantedFault(
                folder,
                Path.of("src/main/java/org/cypressweir/dataplane/proxy"),
                "ReadinessGate.java",
                text,
                instead == null ? "" : instead,
                name -> name.startsWith("org.cypressweir.dataplane.proxy.ProxyStartScenario"));
        assertThat(planted.loadClass("org.cypressweir.dataplane.proxy.ProxyStartScenario")
                        .getMethod("broken", int.class)
                        .invoke(null, STARTS))
                .as(fault)
                .isNotNull();
    }

    @Test
    void whoIsCutOffIsNotPreferred() {
        ReadinessGate freshness = new ReadinessGate();
        freshness.told("a", -1);
        freshness.told("b", ReadinessGate.MOST_AGE);
        freshness.told("c", ReadinessGate.MOST_AGE + 1);
        assertThat(freshness.inContact(Set.of("a", "b", "c", "d"))).containsExactlyInAnyOrder("b", "d");
        assertThat(freshness.inContact(Set.of("a", "c"))).containsExactlyInAnyOrder("a", "c");
        freshness.told("c", 0);
        assertThat(freshness.inContact(Set.of("a", "c"))).containsExactly("c");
    }

    /** A harbour that was cut off tells an old crew: it doesn't take newer members' lines away. */
    @Test
    void anOldCrewIsNotTakenOver() {
        ConfigurationSubscriber following = new ConfigurationSubscriber();
        following.crew(ProposalNumber.of("5@a"), Set.of("a", "b", "d"));
        following.crew(ProposalNumber.of("3@a"), Set.of("a", "b", "c"));
        assertThat(following.crew()).containsExactlyInAnyOrder("a", "b", "d");
        following.crew(ProposalNumber.of("6@a"), Set.of());
        following.crew(ProposalNumber.of("5@b"), Set.of("b", "d", "e"));
        assertThat(following.crew()).containsExactlyInAnyOrder("b", "d", "e");
    }
}
