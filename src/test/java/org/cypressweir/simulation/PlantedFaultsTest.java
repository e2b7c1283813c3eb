package org.cypressweir.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.lang.reflect.Method;
import java.nio.file.Path;
import org.cypressweir.testkit.PlantedFault;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Faults that were planted in the core of membership, and the promise that each of them breaks. */
@Timeout(120)
class PlantedFaultsTest {

    private static final long SEED = 100;

    @TempDir
    Path folder;

    private String found(String check, String file, String text, String instead) throws Exception {
        ClassLoader planted = new PlantedFault(
                folder,
                Path.of("src/main/java/org/cypressweir/fleet/membership"),
                file,
                text,
                instead,
                name -> name.startsWith("org.cypressweir.simulation."));
        return (String) planted.loadClass("org.cypressweir.simulation.MembershipChecks")
                .getMethod("broken", String.class, long.class)
                .invoke(null, check, SEED);
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource(
            delimiter = '~',
            value = {
                "a suspicion never ends ~ one way ~ MonitoredPeers.java ~ if (isLost != link.isLost) { "
                        + "~ if (isLost && !link.isLost) {",
                "a lower incarnation wins ~ long pause ~ MemberRecord.java ~ other.incarnation() > peer.incarnation() "
                        + "~ other.incarnation() < peer.incarnation()",
                "silence leaves out the pause ~ sleepers ~ MembershipOptions.java "
                        + "~ return periodMicros + pauseMicros + ~ return periodMicros + ",
                "a sleeper counts its sleep against others ~ long pause ~ MembershipProtocol.java "
                        + "~ monitoredPeers.excludePause(now, lateMicros); ~ ",
                "the last answer counts from when the next was asked ~ killed ~ MonitoredPeers.java "
                        + "~ link.lastContactAt = Math.max(link.lastContactAt, probe.sentAt); "
                        + "~ link.lastContactAt = 0;",
                "one neighbour's word is enough ~ one way ~ SuspicionTable.java "
                        + "~ if (!neighbors.isLostByMost() || neighbors.isConfirmed) { ~ if (neighbors.lost == 0) {",
                "nobody compares what it knows ~ starts ~ AntiEntropy.java ~ now >= nextComparisonAt && (isOutsideView "
                        + "~ now < 0 && (isOutsideView",
                "it comes back as the one that was put out ~ long pause ~ LocalMember.java "
                        + "~ rejoin(now, record.incarnation() + 1); ~ rejoin(now, record.incarnation());",
                "leaving is told as an end ~ leaves ~ LocalMember.java ~ .withStatus(MemberStatus.LEFT)); "
                        + "~ .withStatus(MemberStatus.OUT));",
                "an end is taken back by an earlier word ~ late words ~ MemberRecord.java "
                        + "~ other.status.compareTo(status) > 0; ~ other.status != status;",
                "older facts win ~ facts ~ MemberRecord.java ~ other.version > version; ~ other.version < version;",
                "the first of two with one name is not asked ~ one name ~ NameConflictResolver.java "
                        + "~ } else if (conflicts.recordNewcomer(now, from, context.options.periodMicros())) { "
                        + "~ } else if (false) {",
                "names without a bound ~ made-up names ~ MembershipView.java "
                        + "~ context.table.size() >= context.options.maxMembers() ~ context.table.size() < 0",
                "whoever talks with a candidate admits it ~ one friend ~ Prober.java "
                        + "~ MemberStatus.CANDIDATE && monitoredPeers.find(name) != null) { "
                        + "~ MemberStatus.CANDIDATE) {",
                "unreachable ones are not looked for ~ many killed ~ Prober.java "
                        + "~ if (!unreachable.isEmpty() && now >= nextDirectProbesAt) { ~ if (false) {",
                "a newcomer is refused by its own answer ~ walk ~ NameConflictResolver.java "
                        + "~ if (newcomer.processId() != from.processId()) { ~ if (true) {",
            })
    void eachIsFound(String fault, String check, String file, String text, String instead) throws Exception {
        assertNotNull(found(check, file, text, instead == null ? "" : instead), "not found: " + fault);
    }

    /** Faults in how parts of what all share are worked out; each lets all use more than the whole. */
    @ParameterizedTest(name = "{0}")
    @CsvSource(
            delimiter = '~',
            value = {
                "a part grows at once ~ ShareClaim.java ~ majoritySince <= now - releaseMicros "
                        + "~ majoritySince <= now",
                "voters release too early ~ ShareClaim.java ~ RELEASE_HOLDS = 2.2; ~ RELEASE_HOLDS = 0.7;",
                "a voter does not wait after its start ~ ShareVoter.java ~ if (now < silentUntil || ~ if (",
                "a grant counts for longer than the hold ~ ShareClaim.java "
                        + "~ current += isCurrent(now, voter) ? 1 : 0; "
                        + "~ current += now - requestedAt[voter] < 3 * holdMicros ? 1 : 0;",
                "what a stopped process has open is forgotten ~ ShareClaim.java "
                        + "~ + CLOCK_TOLERANCE * lingerMicros ~ + 0",
                "a minority is enough ~ ShareClaim.java ~ 2 * currentGrants(now) > requestedAt.length "
                        + "~ currentGrants(now) > 0",
                "what voters count differently is taken for the same ~ ShareClaim.java "
                        + "~ isSameDigest ? largest : sum "
                        + "~ largest",
            })
    void eachIsFoundInParts(String fault, String file, String text, String instead) throws Exception {
        ClassLoader planted = new PlantedFault(
                folder,
                Path.of("src/main/java/org/cypressweir/fleet/membership"),
                file,
                text,
                instead == null ? "" : instead,
                name -> name.startsWith("org.cypressweir.simulation."));
        Method broken =
                planted.loadClass("org.cypressweir.simulation.ShareChecks").getMethod("broken", long.class);
        String found = null;
        for (long seed = 1; seed <= 40 && found == null; seed++) {
            found = (String) broken.invoke(null, seed);
        }
        assertNotNull(found, "not found: " + fault);
    }

    /** The same way without a fault finds none. */
    @Test
    void noneIsFoundWhereThereIsNone() throws Exception {
        assertEquals(null, found("facts", "MemberRecord.java", "other.version > version;", "version < other.version;"));
    }
}
