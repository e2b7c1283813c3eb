package org.cypressweir.common.settings;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Settings files are parsed, and each problem of a file is reported in one line. */
class NodeSettingsTest {

    private static final String FILE = "{'localNode':{'nodeName':'n1','ipAddress':'10.0.0.1','zone':'z1',"
            + "'region':'r1','initialStart':true,'dataDirectory':'/d','limits':{'memoryMb':300,"
            + "'fileDescriptors':2000},'application':'10.0.0.1:80','service':'s','odd':[1,{'a':null}]},"
            + "'network':{'listenAddresses':{'outbound':'10.0.0.1:81'},'internalPortRange':[7000,7009],"
            + "'seedNodes':['10.0.0.1:7000','10.0.0.2:7000'],'zones':{'z2':'r1','z1':'r1'},'mtu':9000},"
            + "'platform':{'heartbeat':'500ms'},'termTable':{'timingBounds':{'drain':'2.5s','ratio':0.25,"
            + "'slack':200,'strict':true},'later':'x',"
            + "'faultTolerance':{'machineFailures':2,'zones':0}},'unknown':{'deep':[true,null,1e3]}}";

    private static Either<List<String>, NodeSettings> read(String text) {
        return NodeSettings.read(text.replace('\'', '"').getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void allFieldsAreReadAndUnknownOnesIgnored() {
        NodeSettings settings = read(FILE).get();
        assertThat(settings)
                .isEqualTo(new NodeSettings(
                        "n1",
                        "10.0.0.1",
                        "z1",
                        "r1",
                        true,
                        "/d",
                        300,
                        2000,
                        "10.0.0.1:80",
                        "s",
                        Map.of("outbound", "10.0.0.1:81"),
                        7000,
                        7009,
                        List.of("10.0.0.1:7000", "10.0.0.2:7000"),
                        Map.of("z1", "r1", "z2", "r1"),
                        500_000,
                        Map.of("drain", 2_500_000.0, "ratio", 0.25, "slack", 200.0, "strict", 1.0),
                        2));
        assertThat(settings.zones().keySet()).containsExactly("z2", "z1");
        assertThat(settings.durationMicros("drain", 1)).isEqualTo(2_500_000);
        assertThat(settings.durationMicros("grace", 7)).isEqualTo(7);
        assertThat(settings.number("ratio", 0)).isEqualTo(0.25);
        assertThat(settings.peerAddress("10.0.0.9")).isEqualTo("10.0.0.9:7000");
        assertThat(read(FILE + " \n").isRight()).isTrue();
    }

    @Test
    void optionalFieldsHaveDefaults() {
        NodeSettings settings = read("{'localNode':{'nodeName':'n','ipAddress':'10.0.0.1','zone':'z'},"
                        + "'network':{'internalPortRange':[1,1]}}")
                .get();
        assertThat(settings.initialStart()).isFalse();
        assertThat(settings.dataDirectory()).isNull();
        assertThat(settings.application()).isNull();
        assertThat(settings.seeds()).isEmpty();
        assertThat(settings.heartbeatMicros()).isEqualTo(1_500_000);
        assertThat(settings.machineFailures()).isNegative();
    }

    @ParameterizedTest
    @CsvSource(
            quoteCharacter = '`',
            delimiter = ';',
            value = {
                "'nodeName':'n1',; `` ; localNode.nodeName",
                "'nodeName':'n1'; 'nodeName':7 ; localNode.nodeName",
                "'ipAddress':'10.0.0.1',; `` ; localNode.ipAddress",
                "'ipAddress':'10.0.0.1'; 'ipAddress':[] ; localNode.ipAddress",
                "'zone':'z1',; `` ; localNode.zone",
                "'zone':'z1'; 'zone':{} ; localNode.zone",
                "'region':'r1'; 'region':1 ; localNode.region",
                "'dataDirectory':'/d'; 'dataDirectory':false ; localNode.dataDirectory",
                "'application':'10.0.0.1:80'; 'application':80 ; localNode.application",
                "'internalPortRange':[7000,7009],; `` ; network.internalPortRange",
                "[7000,7009]; [7009,7000] ; network.internalPortRange",
                "[7000,7009]; ['a','b'] ; network.internalPortRange",
                "{'outbound':'10.0.0.1:81'}; 'x' ; network.listenAddresses",
                "{'z2':'r1','z1':'r1'}; 3 ; network.zones",
                "'2.5s'; '2.5m' ; termTable.timingBounds.drain",
                "'machineFailures':2; 'machineFailures':'two' ; termTable.faultTolerance.machineFailures",
                "'500ms'; 'soon' ; platform.heartbeat",
                "'500ms'; 500 ; platform.heartbeat",
                "'initialStart':true; 'initialStart':'yes' ; localNode.initialStart",
                "'memoryMb':300; 'memoryMb':'much' ; localNode.limits.memoryMb",
                "['10.0.0.1:7000','10.0.0.2:7000']; 'x' ; network.seedNodes",
                "['10.0.0.1:7000','10.0.0.2:7000']; ['10.0.0.1'] ; network.seedNodes",
                "['10.0.0.1:7000','10.0.0.2:7000']; [1] ; network.seedNodes",
                "'2.5s'; [] ; termTable.timingBounds.drain"
            })
    void problemIsReportedInOneLineWithItsPath(String text, String replacement, String path) {
        assertThat(FILE).contains(text);
        assertThat(read(FILE.replace(text, replacement)).getLeft())
                .singleElement()
                .asString()
                .contains(path);
    }

    @Test
    void allProblemsAreReportedAtOnce() {
        assertThat(read("{'localNode':1}").getLeft()).hasSize(5);
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "[]", "null", "{", "{'a':1", "{'a':1}x", "{'a':}", "{'a':1}{}"})
    void textsOtherThanOneObjectAreRejected(String text) {
        assertThat(read(text).getLeft()).hasSize(1);
    }

    @Test
    void durationsAreANumberAndAUnit() {
        assertThat(DurationText.micros("1500ms").get()).isEqualTo(1_500_000);
        assertThat(DurationText.micros("2.5s").get()).isEqualTo(2_500_000);
        assertThat(DurationText.micros("0ms").get()).isZero();
        for (String text :
                List.of("", "s", "ms", "5", "5m", "5 s x", "x5s", "NaNs", "Infinitys", "5ds", "0x1p3s", "-1s")) {
            assertThat(DurationText.micros(text).isEmpty()).as(text).isTrue();
        }
    }
}
