package larkbank.pilot;

import static org.assertj.core.api.Assertions.assertThat;

import java.lang.reflect.Method;
import java.nio.file.Path;
import larkbank.testkit.Planted;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Drawn histories break no rule, and break one where a fault is planted. */
class VoyagesTest {

    private static final int HISTORIES = Integer.getInteger("voyages", 8);
    private static final int REQUESTS = 1_500;

    @TempDir
    Path folder;

    @Test
    void noRuleIsBroken() {
        assertThat(Voyages.broken(HISTORIES, REQUESTS)).isNull();
    }

    @ParameterizedTest(name = "{1}")
    @CsvSource(
            delimiter = '~',
            value = {
                "REFUSED ~ what may have run is refused ~ quay/Account.java ~ if (!mayHaveRun()) { ~ if (true) {",
                "REFUSED ~ a promise that was not made is handed on ~ quay/Account.java "
                        + "~ if (!repeatable && promises(answer.status())) { ~ if (false) {",
                "REFUSED ~ all counts as repeatable ~ quay/Account.java ~ this.repeatable = repeatable; "
                        + "~ this.repeatable = true;",
                "REFUSED ~ what is out has not run ~ quay/Known.java ~ return this == SENT || this == RAN "
                        + "~ return this == RAN",
                "REFUSED ~ what may have run has not ~ quay/Known.java ~ ? RAN : MAY_HAVE_RUN ~ ? RAN : UNRUN",
                "TWICE ~ a lost way says that nothing ran ~ quay/Known.java ~ this == SENT ? MAY_HAVE_RUN "
                        + "~ this == SENT ? UNRUN",
                "MIXED ~ ids are not compared ~ quay/AnswerVerdict.java "
                        + "~ !ids.get(0).strip().equals(shipment.attemptId) ~ false",
                "MIXED ~ the seal is not asked for ~ quay/AnswerVerdict.java ~ && !answer.has(SEAL) ~ && false",
                "MIXED ~ an encoded body is taken ~ quay/AnswerVerdict.java "
                        + "~ answer.has(\"Content-Encoding\") ~ false",
                "TWICE ~ a contradiction is believed ~ quay/AnswerVerdict.java ~ if (notExecuted && status < 400) { "
                        + "~ if (false) {",
                "TWICE ~ a bare 503 says not run ~ quay/AnswerVerdict.java ~ if (notExecuted || status == 421) "
                        + "~ if (notExecuted || status == 421 || status == 503)",
                "TWICE ~ a broken answer says not run ~ quay/AnswerVerdict.java ~ new Outcome.MayHaveRun(why) "
                        + "~ new Outcome.NotRun(Reason.REFUSED, 0)",
                "TWICE ~ what is refused still waits ~ quay/Stevedore.java ~ waiting.remove(last); ~ ",
                "UNASKED ~ the query is left out ~ quay/RequestBytes.java ~ append(f.uri()) "
                        + "~ append(f.uri().split(\"[?]\")[0])",
                "UNASKED ~ the body is cut ~ quay/RequestBytes.java ~ Unpooled.wrappedBuffer(f.body()) "
                        + "~ Unpooled.wrappedBuffer(f.body(), 0, 4)",
                "LOST ~ a refusal is not told ~ pilot/Helm.java ~ end(p, retryAfterMicros); ~ open.remove(number);",
            })
    void eachFaultIsFound(String rule, String fault, String file, String text, String instead) throws Exception {
        Path sources = Path.of("src/main/java/larkbank").resolve(file);
        ClassLoader planted = new Planted(
                folder,
                sources.getParent(),
                sources.getFileName().toString(),
                text,
                instead == null ? "" : instead,
                name -> name.startsWith("larkbank.quay.") || name.startsWith("larkbank.pilot."));
        Method broken = planted.loadClass("larkbank.pilot.Voyages").getMethod("broken", int.class, int.class);
        assertThat((String) broken.invoke(null, HISTORIES, REQUESTS)).as(fault).contains(": " + rule + ": ");
    }
}
