package org.cypressweir.modelcheck;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import org.cypressweir.testkit.PlantedFault;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Each version has one content and each change one answer, however often and wherever it is submitted. */
class ChangeHistoriesTest {

    private static final int RUNS = 40;
    private static final int HISTORIES = 12;

    @TempDir
    Path folder;

    @Test
    void eachChangeHasOneAnswer() {
        assertThat(ChangeHistories.firstViolation(RUNS, HISTORIES)).isNull();
        assertThat(ChangeHistories.longHistory(0).answersByStatus()).containsOnlyKeys(200, 400, 409, 503);
        ChangeHistories run = new ChangeHistories(9);
        assertThat(run.run()).isNull();
        assertThat(run.answersByStatus()).containsKeys(200, 400, 409);
    }

    /** A controller that was added to the voters, and has accepted no state itself since, proposes like any other. */
    @Test
    void addedVoterAcceptsChanges() {
        ChangeHistories run = new ChangeHistories(24);
        assertThat(run.run()).isNull();
        assertThat(run.recoveryFailure()).isNull();
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource(
            delimiter = '~',
            value = {
                "only eight superseded versions are kept ~ Item.java ~ MAX_SUPERSEDED = 256; ~ MAX_SUPERSEDED = 8;",
                "a version that is too old counts as unused ~ Item.java "
                        + "~ other.version < oldestKnownVersion ? VersionStatus.TOO_OLD "
                        + "~ false ? VersionStatus.TOO_OLD",
                "a version that is too old is a conflict ~ ConfigurationMerge.java "
                        + "~ tooOld = Rejection.versionTooOld( ~ tooOld = Rejection.conflict(",
                "superseded contents are not compared ~ Item.java ~ each.equals(other.asSuperseded()) ~ true",
                "a late lower version is not recorded ~ ConfigurationMerge.java ~ existing.withSuperseded(item) "
                        + "~ existing",
                "a late lower version comes into force ~ ConfigurationMerge.java ~ existing.withSuperseded(item) ~ "
                        + "item.replacing(existing)",
                "a late lower version is not validated ~ ConfigurationMerge.java "
                        + "~ ConfigurationValidator.validateItems(newItems) ~ "
                        + "ConfigurationValidator.validateItems(effective.values())",
                "superseded versions are not encoded ~ ItemCodec.java ~ if (!superseded.isEmpty()) { ~ if (false) {",
                "the oldest known version is not encoded ~ ItemCodec.java ~ if (item.oldestKnownVersion() > 0 "
                        + "|| superseded.size() >= MAX_SUPERSEDED_OF_EARLIER_BUILD) { ~ if (false) {",
                "superseded versions are lost with the next version ~ Item.java "
                        + "~ content, lower.superseded, lower.oldestKnownVersion) ~ content, List.of(), 0)",
                "an accepted version is rejected beside unused ones ~ ConfigurationMerge.java "
                        + "~ Rejection rejection = ConfigurationValidator.validateItems(newItems); "
                        + "~ Rejection rejection = newItems.size() < items.size() "
                        + "? new Rejection(RejectionKind.CONFLICT, \"\") : null;",
            })
    void eachFaultIsFound(String fault, String file, String original, String replacement) throws Exception {
        ClassLoader classesWithFault = new PlantedFault(
                folder,
                Path.of("src/main/java/org/cypressweir/controlplane/configuration"),
                file,
                original,
                replacement,
                name -> name.startsWith("org.cypressweir.testkit.Consensus")
                        || name.startsWith("org.cypressweir.testkit.SimulatedReplicas")
                        || name.startsWith("org.cypressweir.controlplane.consensus.")
                        || name.startsWith("org.cypressweir.testkit.JsonCopy")
                        || name.startsWith("org.cypressweir.modelcheck.Change")
                        || name.startsWith("org.cypressweir.modelcheck.RandomChanges"));
        assertThat(classesWithFault
                        .loadClass("org.cypressweir.modelcheck.ChangeHistories")
                        .getMethod("firstViolation", int.class, int.class)
                        .invoke(null, 2 * RUNS, HISTORIES))
                .as(fault)
                .isNotNull();
    }
}
