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
                "a keeper does not wait after its start ~ faults ~ LeaseGrantor.java "
                        + "~ silentUntil = now + plan.kept(plan.mostTermMicros()); ~ silentUntil = now;",
                "a term counts from the answer ~ late answers ~ LeaseClient.java "
                        + "~ grantedAt.merge(keeper, round.askedAt, Math::max); "
                        + "~ grantedAt.merge(keeper, now, Math::max);",
                "a token that was used is granted again ~ faults ~ LeaseGrantor.java ~ free && w.token() > top "
                        + "~ free && w.token() >= top",
                "one keeper is enough ~ faults ~ LeaseClient.java ~ if (plan.most(round.yes) && now < ~ if (now < ",
                "a renewal skips the majority ~ faults ~ LeaseClient.java "
                        + "~ best = plan.most(by) ? Math.max(best, at) : best; ~ best = Math.max(best, at);",
                "the drift is left out ~ faults ~ LeaseOptions.java ~ (1 + drift) / (1 - drift) ~ 1.0",
                "the drift is taken the wrong way ~ faults ~ LeaseOptions.java ~ (1 + drift) / (1 - drift) "
                        + "~ (1 - drift) / (1 + drift)",
                "a holder does not look at its clock ~ faults ~ LeaseClient.java "
                        + "~ return holds(now) ? until - now : 0; "
                        + "~ return holds ? term() : 0;",
                "a keeper lets go early ~ faults ~ LeaseGrantor.java ~ held.until <= now || held.holder "
                        + "~ held.until <= now + 500_000 || held.holder",
                "anybody gives back what has the same token ~ faults ~ LeaseGrantor.java "
                        + "~ if (held != null && held.holder.equals(w.holder()) && held.token == w.token() "
                        + "~ if (held != null && held.token == w.token() ",
                "a keeper forgets tokens ~ faults ~ LeaseGrantor.java ~ tops.put(w.lease(), w.token()); ~ ",
                "a keeper that forgot takes itself to know ~ forgetful ~ LeaseGrantor.java "
                        + "~ complete = plan.most(learnedFrom); ~ complete = true;",
                "the old keepers are not asked ~ keepers ~ LeaseOptions.java "
                        + "~ return most(keepers, yes) && (before == null || most(before, yes)); "
                        + "~ return most(keepers, yes);",
                "any keepers may follow ~ keepers ~ LeaseOptions.java "
                        + "~ if (same && (before == null || now.before != null && set(before) == set(now.before))) { "
                        + "~ if (true) {",
                "who is not heard goes on asking ~ one way ~ LeaseClient.java ~ if (!heard) { ~ if (false) {",
                "a renewal comes too late ~ quiet ~ LeaseClient.java ~ private static final int RENEWALS = 5; "
                        + "~ private static final int RENEWALS = 1;",
                "a refusal teaches no token ~ takeover ~ LeaseClient.java ~ seen = Math.max(seen, w.token()); ~ ",
                "a hint is not heeded ~ handover ~ Leases.java ~ c.hint(now, w.token(), w.micros()); ~ ",
                "one takes all ~ handover ~ Preference.java ~ loads[i] < most && ~ ",
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
