package larkbank.prove;

import static org.assertj.core.api.Assertions.assertThat;

import java.lang.reflect.Method;
import java.nio.file.Path;
import larkbank.testkit.Planted;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A walk that fits into a run of the tests, and faults that it finds. */
class CopiesWalkTest {

    private static final int STRAYS = 2;
    /** Of 39,135; the main method walks all in half a minute at most, and some of those with three. */
    private static final long SOME = 6_000;

    @TempDir
    Path folder;

    @Test
    void noOrderOfEventsPartsCopies() {
        CopiesWalk.Result once = CopiesWalk.walk(1, SOME);
        assertThat(once.breach()).isNull();
        assertThat(once.whole()).isTrue();
        CopiesWalk.Result r = CopiesWalk.walk(STRAYS, SOME);
        assertThat(r.breach()).isNull();
        assertThat(r.taken()).isGreaterThan(r.ways() / 2);
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource(delimiter = '~', value = {
        "one promise is enough ~ Round.java ~ if (!State.most(crew, promises.from())) { ~ if (false) {",
        "any state will do as a base ~ Promises.java ~ accepted.above(highest.accepted) ~ false",
        "what was learnt counts as a vote ~ Promises.java "
            + "~ voted.removeIf(who -> all.get(who).hearsay); ~ ;",
        "promises are not learnt anew ~ Learning.java ~ promise = promised; ~ ;",
    })
    void eachFaultIsFound(String fault, String file, String text, String instead) throws Exception {
        ClassLoader planted = new Planted(folder, Path.of("src/main/java/larkbank/copies"), file, text,
                instead, name -> name.startsWith("larkbank.prove.Copies")
                || name.startsWith("larkbank.testkit.Copies"));
        Method broken = planted.loadClass("larkbank.prove.CopiesWalk").getMethod("broken", int.class,
                long.class);
        assertThat(broken.invoke(null, STRAYS, SOME)).as(fault).isNotNull();
    }
}
