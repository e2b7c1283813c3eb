package org.cypressweir.dataplane.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.lang.reflect.Method;
import java.nio.file.Path;
import org.cypressweir.testkit.PlantedFault;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Parcels of earlier lines and lives that come again do nothing; where a fault is planted they do. */
class MessageReplayTest {

    private static final int HISTORIES = Integer.getInteger("replays", 60);
    private static final int PLANTED = 400;
    private static final int STEPS = 3_000;

    @TempDir
    Path folder;

    @Test
    void whatIsOldDoesNothing() {
        assertThat(MessageReplay.broken(HISTORIES, STEPS)).isNull();
    }

    @ParameterizedTest(name = "{1}")
    @CsvSource(
            delimiter = '~',
            value = {
                "OLD ~ an end is taken on any line ~ PeerForwarder.java ~ || one.line != line) { ~ ) {",
                "MIXED ~ each life counts from one ~ PeerForwarder.java ~ numbers = life; ~ numbers = 0;",
                "TOLD TWICE ~ what is over is kept ~ PeerForwarder.java ~ out.remove(number) ~ out.get(number)",
                "OLD ~ a lost line says not run ~ PeerForwarder.java "
                        + "~ new RequestOutcome.MayHaveRun(\"the line was lost\") "
                        + "~ new RequestOutcome.NotRun(RejectionReason.GONE, 0)",
                "LOST ~ a lost line is not told ~ PeerForwarder.java ~ if (one.line == line) { ~ if (false) {",
                "TWICE ~ a doubled go runs again ~ PeerRequestReceiver.java ~ caller.last = number; ~ ",
                "TWICE ~ a go of an earlier line runs again ~ PeerRequestReceiver.java ~ last = from; ~ last = 0;",
                "TWICE ~ a go of a later line runs again ~ PeerRequestReceiver.java "
                        + "~ || caller.until <= number) { ~ ) {",
                "TWICE ~ a newer line does not end an older one ~ PeerRequestReceiver.java "
                        + "~ other.until = Math.min(other.until, fresh.from); ~ ",
                "TWICE ~ an earlier line begins anew ~ PeerRequestReceiver.java "
                        + "~ before != null && fresh.from <= before ~ false",
                "TWICE ~ a go for another life runs ~ PeerRequestReceiver.java "
                        + "~ if (caller != null && Json.longValue(head, \"life\", -1) != own) { ~ if (false) {",
                "TWICE ~ a line takes a later life's numbers ~ PeerRequestReceiver.java "
                        + "~ next == null ? Long.MAX_VALUE : next "
                        + "~ Long.MAX_VALUE",
                "OLD ~ another life's word is taken ~ PeerForwarder.java "
                        + "~ !Long.valueOf(Json.longValue(head, \"life\", -1)).equals(line.attachment()) ~ false",
                "REFUSED ~ a doubled go is answered ~ PeerRequestReceiver.java "
                        + "~ // No answer: the one that this is a double of "
                        + "may still run. ~ if (caller != null) { "
                        + "end(line, number, new RequestOutcome.NotRun(RejectionReason.GONE, 0)); }",
                "MIXED ~ an end tells another number ~ PeerRequestReceiver.java ~ end(line, number, outcome); "
                        + "~ end(line, caller.last, outcome);",
            })
    void eachFaultIsFound(String rule, String fault, String file, String text, String instead) throws Exception {
        ClassLoader planted = new PlantedFault(
                folder,
                Path.of("src/main/java/org/cypressweir/dataplane/proxy"),
                file,
                text,
                instead == null ? "" : instead,
                name -> name.startsWith("org.cypressweir.dataplane.http.upstream.")
                        || name.startsWith("org.cypressweir.dataplane.proxy."));
        Method broken = planted.loadClass("org.cypressweir.dataplane.proxy.MessageReplay")
                .getMethod("broken", int.class, int.class);
        assertThat((String) broken.invoke(null, PLANTED, STEPS)).as(fault).contains(": " + rule + ": ");
    }
}
