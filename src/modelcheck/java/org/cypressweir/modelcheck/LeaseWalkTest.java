package org.cypressweir.modelcheck;

import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.reflect.Method;
import java.nio.file.Path;
import org.cypressweir.testkit.PlantedFault;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Runs the model checker for leases on small models: none violates the rules, and each planted fault is found. */
class LeaseWalkTest {

    private static final long MAX_STATES = 12_000;

    @TempDir
    Path folder;

    @ParameterizedTest
    @CsvSource({"0,0,false", "2,0,false", "0,1,false", "1,1,true"})
    void noInterleavingLetsTwoHoldersAct(int pauses, int restarts, boolean restartTogether) {
        LeaseWalk.Result result =
                LeaseWalk.explore(new LeaseWalk.Parameters(3, 2, false, pauses, restarts, restartTogether), MAX_STATES);
        assertNull(result.violation());
        assertTrue(result.statesWithHolder() > 1_000, result.toString());
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource(
            delimiter = '~',
            value = {
                "a grantor does not wait after its start ~ 0 ~ 1 ~ LeaseGrantor.java "
                        + "~ firstGrantAt = now + options.grantMicros(options.maxTermMicros()); ~ firstGrantAt = now;",
                "one grantor is enough ~ 0 ~ 0 ~ LeaseClient.java ~ if (request.isGranted(options) && now < "
                        + "~ if (now < ",
                "a grantor releases early ~ 0 ~ 0 ~ LeaseGrantor.java ~ grant.expiresAt <= now || isGrantOfRequester "
                        + "~ grant.expiresAt <= now + 300_000 || isGrantOfRequester",
                "drift is taken the wrong way ~ 0 ~ 0 ~ LeaseOptions.java ~ (1 + clockDrift) / (1 - clockDrift) "
                        + "~ (1 - 2 * clockDrift) / (1 + 2 * clockDrift)",
            })
    void eachPlantedFaultIsFound(String fault, int pauses, int restarts, String file, String text, String instead)
            throws Exception {
        ClassLoader planted = new PlantedFault(
                folder,
                Path.of("src/main/java/org/cypressweir/fleet/lease"),
                file,
                text,
                instead,
                name -> name.startsWith("org.cypressweir.modelcheck."));
        Method checkSmallModel = planted.loadClass("org.cypressweir.modelcheck.LeaseWalk")
                .getMethod("checkSmallModel", int.class, int.class, boolean.class, long.class);
        assertNotNull(checkSmallModel.invoke(null, pauses, restarts, false, MAX_STATES), "not found: " + fault);
    }
}
