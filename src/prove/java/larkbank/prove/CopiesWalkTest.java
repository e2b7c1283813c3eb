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
    /** In each of seven scenes; the main method walks all. */
    private static final long SOME = 1_200;

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
    @CsvSource(
            delimiter = '~',
            value = {
                "one promise is enough ~ Round.java ~ if (!State.most(crew, promises.from())) { ~ if (false) {",
                "any state will do as a base ~ Promises.java ~ accepted.above(highest.accepted) ~ false",
                "a blank disk is the member that its address was ~ Copies.java "
                        + "~ : initialStart ? 0 : 1 + random.nextLong(MOST_NUMBER); ~ : 0;",
                "a crew changes on what one has voted for ~ Round.java "
                        + "~ boolean settled = State.most(base.crew(), promises.voted(base.stamp())); "
                        + "~ boolean settled = true;",
                "a word of another disk is one of this member ~ Member.java "
                        + "~ return disk == 0 ? address : address + \"/\" + disk; ~ return address;",
            })
    void eachFaultIsFound(String fault, String file, String text, String instead) throws Exception {
        ClassLoader planted = new Planted(
                folder,
                Path.of("src/main/java/larkbank/copies"),
                file,
                text,
                instead,
                name -> name.startsWith("larkbank.prove.Copies") || name.startsWith("larkbank.testkit.Copies"));
        Method broken = planted.loadClass("larkbank.prove.CopiesWalk").getMethod("broken", int.class, long.class);
        assertThat(broken.invoke(null, STRAYS, SOME)).as(fault).isNotNull();
    }
}
