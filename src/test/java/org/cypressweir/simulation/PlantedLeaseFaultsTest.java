package org.cypressweir.simulation;

import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.lang.reflect.Method;
import java.nio.file.Path;
import org.cypressweir.testkit.PlantedFault;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Faults planted in leases: each is found by the check named. */
class PlantedLeaseFaultsTest {

    private static final int SEEDS = 25;

    @TempDir
    Path folder;

    @ParameterizedTest(name = "{0}")
    @CsvSource(
            delimiter = '~',
            value = {
                "a grantor does not wait after its start ~ faults ~ LeaseGrantor.java "
                        + "~ firstGrantAt = now + options.grantMicros(options.maxTermMicros()); ~ firstGrantAt = now;",
                "a term counts from the answer ~ late answers ~ LeaseClient.java "
                        + "~ grantTimes.record(grantor, request.sentAt); "
                        + "~ grantTimes.record(grantor, now);",
                "a token that was used is granted again ~ faults ~ LeaseGrantor.java "
                        + "~ isFree && request.token() > highestToken "
                        + "~ isFree && request.token() >= highestToken",
                "one grantor is enough ~ faults ~ LeaseClient.java ~ if (request.isGranted(options) && now < "
                        + "~ if (now < ",
                "a renewal skips the majority ~ faults ~ GrantTimes.java "
                        + "~ latest = options.isQuorum(grantors) ? Math.max(latest, sentAt) : latest; "
                        + "~ latest = Math.max(latest, sentAt);",
                "the drift is left out ~ faults ~ LeaseOptions.java ~ (1 + clockDrift) / (1 - clockDrift) ~ 1.0",
                "the drift is taken the wrong way ~ faults ~ LeaseOptions.java ~ (1 + clockDrift) / (1 - clockDrift) "
                        + "~ (1 - clockDrift) / (1 + clockDrift)",
                "a holder ignores its clock ~ faults ~ LeaseClient.java "
                        + "~ return isHolder(now) ? expiresAt - now : 0; "
                        + "~ return isHolding ? termMicros() : 0;",
                "a grantor releases early ~ faults ~ LeaseGrantor.java ~ grant.expiresAt <= now || isGrantOfRequester "
                        + "~ grant.expiresAt <= now + 500_000 || isGrantOfRequester",
                "anybody releases what has the same token ~ faults ~ LeaseGrantor.java "
                        + "~ if (grant != null && grant.isOf(release.holder()) && grant.token == release.token() "
                        + "~ if (grant != null && grant.token == release.token() ",
                "a grantor forgets tokens ~ faults ~ TokenRecovery.java ~ highestTokens.put(lease, token); ~ ",
                "a grantor that lost its state takes itself to know ~ forgetful ~ TokenRecovery.java "
                        + "~ isComplete = options.isQuorum(completeSources); ~ isComplete = true;",
                "the old grantors are not asked ~ keepers ~ LeaseOptions.java "
                        + "~ return isMajority(grantors, members) "
                        + "&& (previousGrantors == null || isMajority(previousGrantors, members)); "
                        + "~ return isMajority(grantors, members);",
                "any grantors may follow ~ keepers ~ LeaseOptions.java "
                        + "~ if (sameGrantors && (previousGrantors == null || hasPreviousGrantorsOf(current))) { "
                        + "~ if (true) {",
                "who gets no response goes on requesting ~ one way ~ LeaseClient.java ~ if (!hasQuorumResponded) { "
                        + "~ if (false) {",
                "a renewal comes too late ~ quiet ~ LeaseClient.java ~ private static final int RENEWALS_PER_TERM = 5; "
                        + "~ private static final int RENEWALS_PER_TERM = 1;",
                "a refusal teaches no token ~ takeover ~ LeaseClient.java "
                        + "~ highestToken = Math.max(highestToken, refusal.token()); ~ ",
                "a hint is not heeded ~ handover ~ Leases.java "
                        + "~ client.receiveHint(now, message.token(), message.micros()); ~ ",
                "one takes all ~ handover ~ Preference.java ~ loads[i] < maxLeasesPerMember && ~ ",
            })
    void eachIsFound(String fault, String check, String file, String text, String instead) throws Exception {
        ClassLoader planted = new PlantedFault(
                folder,
                Path.of("src/main/java/org/cypressweir/fleet/lease"),
                file,
                text,
                instead == null ? "" : instead,
                name -> name.startsWith("org.cypressweir.simulation."));
        Method broken = planted.loadClass("org.cypressweir.simulation.LeaseChecks")
                .getMethod("broken", String.class, long.class);
        String found = null;
        for (long seed = 1; seed <= SEEDS && found == null; seed++) {
            found = (String) broken.invoke(null, check, seed);
        }
        assertNotNull(found, "not found: " + fault);
    }
}
