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
                "only eight superseded versions are kept ~ Item.java ~ MAX_SUPERSEDED = 256; ~ MAX_SUPERSEDED = 8;",
                "a version that is too old counts as unused ~ Item.java "
                        + "~ other.version < oldestKnownVersion ? VersionStatus.TOO_OLD ~ false ? VersionStatus.TOO_OLD",
                "a version that is too old is a conflict ~ ConfigurationMerge.java ~ tooOld = Rejection.versionTooOld( ~ "
                        + "tooOld = Rejection.conflict(",
                "superseded contents are not compared ~ Item.java ~ each.equals(other.asSuperseded()) ~ true",
                "a late lower version is not recorded ~ ConfigurationMerge.java ~ existing.withSuperseded(item) "
                        + "~ existing",
                "a late lower version comes into force ~ ConfigurationMerge.java ~ existing.withSuperseded(item) ~ "
                        + "item.replacing(existing)",
                "a late lower version is not validated ~ ConfigurationMerge.java "
                        + "~ ConfigurationValidator.validateItems(unused) ~ "
                        + "ConfigurationValidator.validateItems(effective.values())",
                "superseded versions are not encoded ~ ItemCodec.java ~ if (!superseded.isEmpty()) { ~ if (false) {",
                "the oldest known version is not encoded ~ ItemCodec.java ~ if (item.oldestKnownVersion() > 0 "
                        + "|| superseded.size() >= MAX_SUPERSEDED_OF_EARLIER_BUILD) { ~ if (false) {",
                "superseded versions are lost with the next version ~ Item.java "
                        + "~ content, lower.superseded, lower.oldestKnownVersion) ~ content, List.of(), 0)",
                "an accepted version is rejected beside unused ones ~ ConfigurationMerge.java "
                        + "~ Rejection rejection = ConfigurationValidator.validateItems(unused); "
                        + "~ Rejection rejection = unused.size() < items.size() ? Rejection.conflict(\"\") : null;",
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
