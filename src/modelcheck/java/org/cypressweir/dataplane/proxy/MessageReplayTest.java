package org.cypressweir.dataplane.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.lang.reflect.Method;
import java.nio.file.Path;
import org.cypressweir.testkit.PlantedFault;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Replayed messages of earlier connections and incarnations have no effect, except where a fault is planted. */
class MessageReplayTest {

    private static final int HISTORIES = Integer.getInteger("replays", 60);
    private static final int PLANTED = 400;
    private static final int STEPS = 3_000;

    @TempDir
    Path folder;

    @Test
    void replayedMessagesDoNothing() {
        assertThat(MessageReplay.firstViolation(HISTORIES, STEPS)).isNull();
    }

    @ParameterizedTest(name = "{1}")
    @CsvSource(
            delimiter = '~',
            value = {
                "OLD ~ a response is accepted on any connection ~ PeerForwarder.java "
                        + "~ || attempt.connection != connection) { ~ ) {",
                "MIXED ~ each incarnation numbers its requests from one ~ PeerForwarder.java "
                        + "~ lastNumber = incarnation; "
                        + "~ lastNumber = 0;",
                "COMPLETED TWICE ~ complete attempts are kept ~ PeerForwarder.java ~ inFlight.remove(number) "
                        + "~ inFlight.get(number)",
                "OLD ~ a lost connection says not run ~ PeerForwarder.java "
                        + "~ complete(attempt.number, mayHaveRun(CONNECTION_LOST)) "
                        + "~ complete(attempt.number, notRun(RejectionReason.GONE))",
                "LOST ~ a lost connection is ignored ~ PeerForwarder.java "
                        + "~ if (attempt.connection == connection) { ~ if (false) {",
                "TWICE ~ a duplicate runs again ~ PeerRequestReceiver.java ~ session.lastNumber = number; ~ ",
                "TWICE ~ a request of an earlier connection runs again ~ PeerRequestReceiver.java "
                        + "~ lastNumber = firstNumber; ~ lastNumber = 0;",
                "TWICE ~ a request of a later connection runs again ~ PeerRequestReceiver.java "
                        + "~ || session.endNumber <= number) { ~ ) {",
                "TWICE ~ a newer connection does not end an older one ~ PeerRequestReceiver.java "
                        + "~ other.endNumber = Math.min(other.endNumber, session.firstNumber); ~ ",
                "TWICE ~ an earlier connection starts again ~ PeerRequestReceiver.java "
                        + "~ before != null && session.firstNumber <= before ~ false",
                "TWICE ~ a request for another incarnation runs ~ PeerRequestReceiver.java "
                        + "~ if (session != null && request.receiverIncarnation() != ownIncarnation) { "
                        + "~ if (false) {",
                "TWICE ~ a connection accepts a later incarnation's numbers ~ PeerRequestReceiver.java "
                        + "~ next == null ? Long.MAX_VALUE : next "
                        + "~ Long.MAX_VALUE",
                "OLD ~ another incarnation's response is accepted ~ PeerForwarder.java "
                        + "~ !Long.valueOf(response.incarnation()).equals(connection.attachment()) ~ false",
                "REFUSED ~ a duplicate gets a response ~ PeerRequestReceiver.java "
                        + "~ // No response: the original of this duplicate may still run. "
                        + "~ if (session != null) { respond(connection, number, new RequestOutcome.NotRun("
                        + "org.cypressweir.dataplane.http.upstream.RejectionReason.GONE, 0)); }",
                "MIXED ~ a response has the number of another request ~ PeerRequestReceiver.java "
                        + "~ respond(connection, number, outcome); "
                        + "~ respond(connection, session.lastNumber, outcome);",
            })
    void eachPlantedFaultIsFound(String rule, String fault, String file, String text, String replacement)
            throws Exception {
        ClassLoader planted = new PlantedFault(
                folder,
                Path.of("src/main/java/org/cypressweir/dataplane/proxy"),
                file,
                text,
                replacement == null ? "" : replacement,
                name -> name.startsWith("org.cypressweir.dataplane.http.upstream.")
                        || name.startsWith("org.cypressweir.dataplane.proxy."));
        Method firstViolation = planted.loadClass("org.cypressweir.dataplane.proxy.MessageReplay")
                .getMethod("firstViolation", int.class, int.class);
        assertThat((String) firstViolation.invoke(null, PLANTED, STEPS))
                .as(fault)
                .contains(": " + rule + ": ");
    }
}
