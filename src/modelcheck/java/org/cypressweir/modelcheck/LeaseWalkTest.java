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

/** Walks that fit into a run of the tests, and faults that they find. */
class LeaseWalkTest {

    private static final long STATES = 12_000;

    @TempDir
    Path folder;

    @ParameterizedTest
    @CsvSource({"0,0,false", "2,0,false", "0,1,false", "1,1,true"})
    void noOrderOfEventsLetsTwoAct(int pauses, int restarts, boolean together) {
        LeaseWalk.Result r = LeaseWalk.walk(new LeaseWalk.Shape(3, 2, false, pauses, restarts, together), STATES);
        assertNull(r.breach());
        assertTrue(r.held() > 1_000, r.toString());
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource(
            delimiter = '~',
            value = {
                "a keeper does not wait after its start ~ 0 ~ 1 ~ LeaseGrantor.java "
                        + "~ silentUntil = now + plan.kept(plan.mostTermMicros()); ~ silentUntil = now;",
                "one keeper is enough ~ 0 ~ 0 ~ LeaseClient.java ~ if (plan.most(round.yes) && now < ~ if (now < ",
                "a keeper lets go early ~ 0 ~ 0 ~ LeaseGrantor.java ~ held.until <= now || held.holder "
                        + "~ held.until <= now + 300_000 || held.holder",
                "drift is taken the wrong way ~ 0 ~ 0 ~ LeaseOptions.java ~ (1 + drift) / (1 - drift) "
                        + "~ (1 - 2 * drift) / (1 + 2 * drift)",
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
