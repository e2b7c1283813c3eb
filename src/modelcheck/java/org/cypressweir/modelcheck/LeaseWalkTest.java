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

/** Models that are small enough for a run of the tests, and planted faults that the checker finds. */
class LeaseWalkTest {

    private static final long STATES = 12_000;

    @TempDir
    Path folder;

    @ParameterizedTest
    @CsvSource({"0,0,false", "2,0,false", "0,1,false", "1,1,true"})
    void noOrderOfEventsLetsTwoAct(int pauses, int restarts, boolean together) {
        LeaseWalk.Result r = LeaseWalk.walk(new LeaseWalk.Shape(3, 2, false, pauses, restarts, together), STATES);
        assertNull(r.violation());
        assertTrue(r.held() > 1_000, r.toString());
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource(
            delimiter = '~',
            value = {
                "a grantor does not wait after its start ~ 0 ~ 1 ~ LeaseGrantor.java "
                        + "~ silentUntil = now + options.grantMicros(options.maxTermMicros()); ~ silentUntil = now;",
                "one grantor is enough ~ 0 ~ 0 ~ LeaseClient.java ~ if (request.isGranted(options) && now < ~ if (now < ",
                "a grantor releases early ~ 0 ~ 0 ~ LeaseGrantor.java ~ grant.expiresAt <= now || isRequesters "
                        + "~ grant.expiresAt <= now + 300_000 || isRequesters",
                "drift is taken the wrong way ~ 0 ~ 0 ~ LeaseOptions.java ~ (1 + clockDrift) / (1 - clockDrift) "
                        + "~ (1 - 2 * clockDrift) / (1 + 2 * clockDrift)",
            })
    void eachFaultIsFound(String fault, int pauses, int restarts, String file, String text, String instead)
            throws Exception {
        ClassLoader planted = new PlantedFault(
                folder,
                Path.of("src/main/java/org/cypressweir/fleet/lease"),
                file,
                text,
                instead,
                name -> name.startsWith("org.cypressweir.modelcheck."));
        Method broken = planted.loadClass("org.cypressweir.modelcheck.LeaseWalk")
                .getMethod("broken", int.class, int.class, boolean.class, long.class);
        assertNotNull(broken.invoke(null, pauses, restarts, false, STATES), "not found: " + fault);
    }
}
