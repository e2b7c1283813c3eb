package org.cypressweir.sidecar.simhost;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SimHostTest {

    private static final String FACTS = "{'classes':[{'name':'c','effect':'pure','aim_us':200000,"
            + "'deadline_us':1000000,'worth':1,'new_key':[1,{'x':null}]}],'zones':['a'],'zone':0,"
            + "'policy_limits':{'attempts_cap':3,'cancelling':true},'rules':{'cold_from':0.3,"
            + "'cold_us':1000000,"
            + "'fall_us':1000000},'discovery':'push','unknown':{'deep':[1.5]}}";
    private static final String START = "{'at_time_us':10,'groups':[{'who':'sidecar_0','msgs':[{'op':'Start',"
            + "'salt':5,'facts':" + FACTS + "},{'op':'Pool','table':3,'rows':[{'server':9,"
            + "'status':'SERVING'}]},"
            + "{'op':'Endpoints','how':'disk','epoch':1,'table':3}]}]}\n";

    private int status;
    private String errors;

    private String run(String input) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        byte[] bytes = input.replace('\'', '"').getBytes(StandardCharsets.UTF_8);
        status = new SimHost().run(new ByteArrayInputStream(bytes), out, new PrintStream(err, true));
        errors = err.toString(StandardCharsets.UTF_8);
        return out.toString(StandardCharsets.UTF_8).replace('"', '\'');
    }

    private static String batch(long at, String events) {
        return "{'at_time_us':" + at + ",'groups':[{'who':'sidecar_0','msgs':[" + events + "]}]}\n";
    }

    @Test
    void oneReplyForEachBatch() {
        assertEquals(
                "{'groups':[]}\n{'groups':[]}\n",
                run("{'at_time_us':1,'groups':[]}\n" + "{'at_time_us':2,'groups':[]}\n"));
        assertEquals(0, status);
    }

    @Test
    void requestIsSentAndCompleted() {
        String out = run(START
                + batch(20, "{'op':'Call','ticket':'ab','type':0,'drop_dead_us':900000}")
                + batch(
                        30,
                        "{'op':'Response','ticket':'ab','server':9,'go':0,"
                                + "'cost_time_us':10,'verdict':'OK',"
                                + "'terminal':true},{'op':'ClientLeft','ticket':'ab'},{'op':'Peer',"
                                + "'by':1,'octets':''}"));
        String[] lines = out.split("\n");
        assertEquals(3, lines.length);
        assertTrue(lines[1].contains("{'op':'Place','ticket':'ab','server':9"), lines[1]);
        assertEquals("{'groups':[]}", lines[2]);
    }

    @Test
    void poolIsReplacedWithinABatch() {
        String out = run(START
                + batch(
                        20,
                        "{'op':'Pool','table':3,'rows':[{'server':7,'status':'SERVING'}]},"
                                + "{'op':'Endpoints','how':'snapshot','epoch':2,'table':3},"
                                + "{'op':'Call','ticket':'ab','type':0,'drop_dead_us':900000}"));
        assertTrue(out.contains("'server':7"), out);
    }

    @Test
    void instanceMayRestartInOneBatch() {
        run(START
                + batch(
                        20,
                        "{'op':'PowerOff'},{'op':'Start','salt':6,'facts':" + FACTS + "},"
                                + "{'op':'Endpoints','how':'disk','epoch':1,'table':3},"
                                + "{'op':'Call','ticket':'ab','type':0,'drop_dead_us':900000}"));
        assertEquals(0, status, errors);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "nonsense | not JSON",
                "[] | a batch must be a JSON object",
                "{'groups':[]} | at_time_us",
                "{'at_time_us':5} | groups",
                "{'at_time_us':5,'groups':[{'who':'s','msgs':[{'op':'PowerOff'}]}]} | unknown instance",
                "{'at_time_us':5,'groups':[{'who':'s','msgs':[{'op':'Start','salt':1}]}]} | 'facts' is missing",
                "{'at_time_us':5,'groups':[{'who':'s','msgs':[{'op':'Start','salt':1,'facts':{}}]}]} | classes",
            })
    void badInputEndsWithOneClearLine(String input, String message) {
        String out = run(input);
        assertEquals(1, status);
        assertEquals("", out);
        assertTrue(errors.contains(message), errors);
        assertEquals(1, errors.lines().count());
    }

    @Test
    void unknownEventIsNamed() {
        run(START + batch(20, "{'op':'Surprise'}"));
        assertEquals(1, status);
        assertTrue(errors.contains("Surprise"), errors);
    }
}
