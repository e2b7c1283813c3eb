package org.cypressweir.modelcheck;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import org.cypressweir.testkit.PlantedFault;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** One content a version and one answer to each order, however often and wherever it is sent. */
class ChangeHistoriesTest {

    private static final int DAYS = 40;
    private static final int HISTORIES = 12;

    @TempDir
    Path folder;

    @Test
    void eachOrderHasOneAnswer() {
        assertThat(ChangeHistories.broken(DAYS, HISTORIES)).isNull();
        assertThat(ChangeHistories.longHistory(0).told()).containsOnlyKeys(200, 400, 409, 503);
        ChangeHistories day = new ChangeHistories(9);
        assertThat(day.run()).isNull();
        assertThat(day.told()).containsKeys(200, 400, 409);
    }

    /** A harbour that was let in, and has accepted no state itself since, proposes like any other. */
    @Test
    void whoWasLetInTakesOrders() {
        ChangeHistories day = new ChangeHistories(24);
        assertThat(day.run()).isNull();
        assertThat(day.unhealed()).isNull();
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource(
            delimiter = '~',
            value = {
                "the last eight are kept, and no floor ~ Item.java ~ MOST_PAST = 256; ~ MOST_PAST = 8;",
                "what is forgotten is taken as never used ~ Item.java ~ other.version < floor ? Use.FORGOTTEN ~ "
                        + "false ? Use.FORGOTTEN",
                "what is forgotten is refused ~ ConfigurationChange.java ~ forgotten = Rejection.forgotten( ~ "
                        + "forgotten = Rejection.conflict(",
                "contents of the past are not compared ~ Item.java ~ each.equals(other.asPast()) ~ true",
                "what is passed is not remembered ~ ConfigurationChange.java ~ lower ? stands.past(item) "
                        + "~ lower ? stands",
                "what is passed comes into force ~ ConfigurationChange.java ~ lower ? stands.past(item) ~ "
                        + "lower ? item.after(stands)",
                "what is passed is not checked ~ ConfigurationChange.java "
                        + "~ ConfigurationValidator.wrongAlone(unused) ~ "
                        + "ConfigurationValidator.wrongAlone(highest.values())",
                "the past is not written ~ Item.java ~ if (!past.isEmpty()) { ~ if (false) {",
                "the floor is not written ~ Item.java ~ if (floor > 0 || past.size() >= MOST_PAST_WITHOUT_FLOOR) { ~ "
                        + "if (false) {",
                "the past is lost with the next version ~ Item.java ~ content, before.past, before.floor) ~ "
                        + "content, List.of(), 0)",
                "an old one is refused where others are new ~ ConfigurationChange.java "
                        + "~ Rejection refusal = ConfigurationValidator.wrongAlone(unused); "
                        + "~ Rejection refusal = unused.size() < items.size() ? Rejection.conflict(\"\") : null;",
            })
    void eachFaultIsFound(String fault, String file, String text, String instead) throws Exception {
        ClassLoader planted = new PlantedFault(
                folder,
                Path.of("src/main/java/org/cypressweir/controlplane/configuration"),
                file,
                text,
                instead,
                name -> name.startsWith("org.cypressweir.testkit.Consensus")
                        || name.startsWith("org.cypressweir.testkit.SimulatedReplicas")
                        || name.startsWith("org.cypressweir.controlplane.consensus.")
                        || name.startsWith("org.cypressweir.testkit.JsonCopy")
                        || name.startsWith("org.cypressweir.modelcheck.Change")
                        || name.startsWith("org.cypressweir.modelcheck.RandomChanges"));
        assertThat(planted.loadClass("org.cypressweir.modelcheck.ChangeHistories")
                        .getMethod("broken", int.class, int.class)
                        .invoke(null, 2 * DAYS, HISTORIES))
                .as(fault)
                .isNotNull();
    }
}
