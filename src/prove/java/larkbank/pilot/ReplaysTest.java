package larkbank.pilot;

import static org.assertj.core.api.Assertions.assertThat;

import java.lang.reflect.Method;
import java.nio.file.Path;
import larkbank.testkit.Planted;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Parcels of earlier lines and lives that come again do nothing; where a fault is planted they do. */
class ReplaysTest {

    private static final int HISTORIES = Integer.getInteger("replays", 60);
    private static final int PLANTED = 400;
    private static final int STEPS = 3_000;

    @TempDir
    Path folder;

    @Test
    void whatIsOldDoesNothing() {
        assertThat(Replays.broken(HISTORIES, STEPS)).isNull();
    }

    @ParameterizedTest(name = "{1}")
    @CsvSource(
            delimiter = '~',
            value = {
                "OLD ~ an end is taken on any line ~ Hops.java ~ || one.line != line) { ~ ) {",
                "MIXED ~ each life counts from one ~ Hops.java ~ numbers = life; ~ numbers = 0;",
                "TOLD TWICE ~ what is over is kept ~ Hops.java ~ out.remove(number) ~ out.get(number)",
                "OLD ~ a lost line says not run ~ Hops.java ~ new Outcome.MayHaveRun(\"the line was lost\") "
                        + "~ new Outcome.NotRun(Reason.GONE, 0)",
                "LOST ~ a lost line is not told ~ Hops.java ~ if (one.line == line) { ~ if (false) {",
                "TWICE ~ a doubled go runs again ~ Landing.java ~ caller.last = number; ~ ",
                "TWICE ~ a go of an earlier line runs again ~ Landing.java ~ last = from; ~ last = 0;",
                "TWICE ~ a go of a later line runs again ~ Landing.java ~ || caller.until <= number) { ~ ) {",
                "TWICE ~ a newer line does not end an older one ~ Landing.java "
                        + "~ other.until = Math.min(other.until, fresh.from); ~ ",
                "TWICE ~ an earlier line begins anew ~ Landing.java ~ before != null && fresh.from <= before ~ false",
                "TWICE ~ a go for another life runs ~ Landing.java "
                        + "~ if (caller != null && Json.whole(head, \"life\", -1) != own) { ~ if (false) {",
                "TWICE ~ a line takes a later life's numbers ~ Landing.java ~ next == null ? Long.MAX_VALUE : next "
                        + "~ Long.MAX_VALUE",
                "OLD ~ another life's word is taken ~ Hops.java "
                        + "~ !Long.valueOf(Json.whole(head, \"life\", -1)).equals(line.owner()) ~ false",
                "REFUSED ~ a doubled go is answered ~ Landing.java ~ // No answer: the one that this is a double of "
                        + "may still run. ~ if (caller != null) { "
                        + "end(line, number, new Outcome.NotRun(Reason.GONE, 0)); }",
                "MIXED ~ an end tells another number ~ Landing.java ~ end(line, number, outcome); "
                        + "~ end(line, caller.last, outcome);",
            })
    void eachFaultIsFound(String rule, String fault, String file, String text, String instead) throws Exception {
        ClassLoader planted = new Planted(
                folder,
                Path.of("src/main/java/larkbank/pilot"),
                file,
                text,
                instead == null ? "" : instead,
                name -> name.startsWith("larkbank.quay.") || name.startsWith("larkbank.pilot."));
        Method broken = planted.loadClass("larkbank.pilot.Replays").getMethod("broken", int.class, int.class);
        assertThat((String) broken.invoke(null, PLANTED, STEPS)).as(fault).contains(": " + rule + ": ");
    }
}
