package larkbank.pilot;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.Set;
import larkbank.copies.Ballot;
import larkbank.testkit.Planted;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A pilot begins with what a majority confirms, or after a while with what it has, and never goes back. */
class FreshnessTest {

    private static final int STARTS = 300;

    @TempDir
    Path folder;

    @Test
    void whatIsConfirmedHasAllThatWasAnswered() {
        assertThat(PilotStarts.broken(STARTS)).isNull();
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
        ClassLoader planted = new Planted(
                folder,
                Path.of("src/main/java/larkbank/pilot"),
                "Freshness.java",
                text,
                instead == null ? "" : instead,
                name -> name.startsWith("larkbank.pilot.PilotStarts"));
        assertThat(planted.loadClass("larkbank.pilot.PilotStarts")
                        .getMethod("broken", int.class)
                        .invoke(null, STARTS))
                .as(fault)
                .isNotNull();
    }

    @Test
    void whoIsCutOffIsNotPreferred() {
        Freshness freshness = new Freshness();
        freshness.told("a", -1);
        freshness.told("b", Freshness.MOST_AGE);
        freshness.told("c", Freshness.MOST_AGE + 1);
        assertThat(freshness.inContact(Set.of("a", "b", "c", "d"))).containsExactlyInAnyOrder("b", "d");
        assertThat(freshness.inContact(Set.of("a", "c"))).containsExactlyInAnyOrder("a", "c");
        freshness.told("c", 0);
        assertThat(freshness.inContact(Set.of("a", "c"))).containsExactly("c");
    }

    /** A harbour that was cut off tells an old crew: it doesn't take newer members' lines away. */
    @Test
    void anOldCrewIsNotTakenOver() {
        Following following = new Following();
        following.crew(Ballot.of("5@a"), Set.of("a", "b", "d"));
        following.crew(Ballot.of("3@a"), Set.of("a", "b", "c"));
        assertThat(following.crew()).containsExactlyInAnyOrder("a", "b", "d");
        following.crew(Ballot.of("6@a"), Set.of());
        following.crew(Ballot.of("5@b"), Set.of("b", "d", "e"));
        assertThat(following.crew()).containsExactlyInAnyOrder("b", "d", "e");
    }
}
