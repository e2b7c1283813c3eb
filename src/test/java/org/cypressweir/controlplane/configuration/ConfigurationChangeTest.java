package org.cypressweir.controlplane.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Which orders are taken on top of what stands, and why others are not. */
class ConfigurationChangeTest {

    static final String ROUTE = "{'hostname':'A.example','pathPrefix':'/p/','routeType':'idempotent',"
            + "'timeout':'2500ms','targetLatency':'0.4s','priority':2,"
            + "'weightedSplit':[{'service':'s','weight':90},{'service':'s2','weight':0.5}],"
            + "'maxAttempts':2,'publicAccess':false,'configVersion':'r7'}";
    static final String OTHER = "{'hostname':'a.example','pathPrefix':'/q/','routeType':'non_idempotent',"
            + "'timeout':'3s','targetLatency':'500ms','priority':1,'service':'s','maxAttempts':1,"
            + "'publicAccess':true,'configVersion':'r7'}";
    static final String SERVICE =
            "{'healthPath':'/health','maxConnections':120,'protocol':'h1','tls':false," + "'configVersion':'r7'}";
    static final String TENANT =
            "{'apiKeys':['k1','k2'],'priority':1,'ratePerS':62,'burstSize':62.5," + "'configVersion':'r7'}";
    static final String LIMITS = "{'maxHeaderBytes':16384,'maxBodyBytes':67108864,'headerTimeout':'3000ms',"
            + "'idleTimeout':'15000ms','configVersion':'r7'}";
    static final String FULL = "{'upsert':{'routeTable':{'r1':" + ROUTE + ",'r2':" + OTHER
            + "},'tenantTable':{'t':" + TENANT + ",'t2':{'apiKeys':['k3'],'configVersion':'r1'}},"
            + "'serviceTable':{'s':" + SERVICE + ",'s2':" + SERVICE + "},'limits':" + LIMITS + "}}";

    static byte[] bytes(String body) {
        return body.replace('\'', '"').getBytes(StandardCharsets.UTF_8);
    }

    static ConfigurationChange order(String body) {
        return ConfigurationChange.read(bytes(body)).get();
    }

    static Configuration full() {
        return Configuration.EMPTY.with(order(FULL).against(Configuration.EMPTY).get());
    }

    private static String withdraw(String table, String name, int version) {
        return "{'withdraw':{'" + table + "':[{'name':'" + name + "','configVersion':'r" + version + "'}]}}";
    }

    private static String service(String name, int version, int connections) {
        return "{'upsert':{'serviceTable':{'" + name + "':{'healthPath':'/h','maxConnections':" + connections
                + ",'configVersion':'r" + version + "'}}}}";
    }

    private static void conflict(Configuration on, String body, String reason) {
        Rejection refusal = order(body).against(on).getLeft();
        assertThat(refusal.kind()).isEqualTo(RejectionKind.CONFLICT);
        assertThat(refusal.reason()).contains(reason);
    }

    private static Configuration taken(Configuration on, String body) {
        List<Item> changes = order(body).against(on).get();
        assertThat(changes).isNotEmpty();
        return on.with(changes);
    }

    private static void nothing(Configuration on, String body) {
        assertThat(order(body).against(on).get()).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "{",
                "[]",
                "null",
                "{'upsert':{}",
                "{'upsert':{}}x",
                "{'upsert':{}} {}",
                "{'upsert':[]}",
                "{'upsert':{'routeTable':[]}}",
                "{'upsert':{'other':{}}}",
                "{'more':{}}",
                "{'upsert':{'tenantTable':{'t':1}}}",
                "{'upsert':{'tenantTable':{'t':{'apiKeys':[]}}}}",
                "{'withdraw':{'limits':[]}}",
                "{'upsert':{'tenantTable':{'t':{'apiKeys':[],'configVersion':7}}}}",
                "{'upsert':{'tenantTable':{'t':{'apiKeys':[],'configVersion':'7'}}}}",
                "{'upsert':{'tenantTable':{'t':{'apiKeys':[],'configVersion':'r-7'}}}}",
                "{'upsert':{'tenantTable':{'':{'apiKeys':[],'configVersion':'r7'}}}}",
                "{'upsert':{'tenantTable':{'t':{'configVersion':'r1'},'t':{'configVersion':'r2'}}}}",
                "{'withdraw':{'routeTable':{'name':'a'}}}",
                "{'withdraw':{'routeTable':['a']}}",
                "{'withdraw':{'routeTable':[{'name':'a'}]}}",
                "{'withdraw':{'routeTable':[{'configVersion':'r1'}]}}",
                "{'upsert':{'serviceTable':{'a':{'configVersion':'r1'}}},"
                        + "'withdraw':{'serviceTable':[{'name':'a','configVersion':'r1'}]}}",
                "{'upsert':{'a':tru}}",
                "{'upsert':{'a':'\\u00'}}",
                "{'upsert' {}}",
                "{'upsert':{},}"
            })
    void whatIsNoOrderIsInvalid(String body) {
        Rejection refusal = ConfigurationChange.read(bytes(body)).getLeft();
        assertThat(refusal.kind()).isEqualTo(RejectionKind.INVALID);
        assertThat(refusal.reason()).isNotBlank();
    }

    /** Operators' own calls withdraw a name twice now and then. */
    @Test
    void ofANameTwiceInOneCallTheHighestVersionHolds() {
        Configuration standing = taken(
                full(),
                "{'withdraw':{'routeTable':[{'name':'r-1','configVersion':'r8'},"
                        + "{'name':'r-1','configVersion':'r9'},{'name':'r-1','configVersion':'r9'}]}}");
        assertThat(standing.get(new ItemKey(ItemType.ROUTES, "r-1")).version()).isEqualTo(9);
    }

    @Test
    void whatIsCutShortIsInvalid() {
        byte[] whole = bytes(FULL);
        for (int length = 0; length < whole.length; length++) {
            assertThat(ConfigurationChange.read(Arrays.copyOf(whole, length)).isLeft())
                    .isTrue();
        }
        assertThat(ConfigurationChange.read(bytes("{'upsert':" + "[".repeat(100_000)))
                        .isLeft())
                .isTrue();
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '~',
            quoteCharacter = '`',
            value = {
                "'pathPrefix':'/p/' ~ 'pathPrefix':'p/'",
                "'pathPrefix':'/p/' ~ 'pathPrefix':'/p'",
                "'pathPrefix':'/p/' ~ 'pathPrefix':'/q/'",
                "'hostname':'A.example', ~ ",
                "'hostname':'A.example' ~ 'hostname':3",
                "'idempotent' ~ 'sometimes'",
                "'2500ms' ~ '0ms'",
                "'2500ms' ~ '600.001s'",
                "'2500ms' ~ '2500'",
                "'2500ms' ~ 2500",
                "'0.4s' ~ '-1s'",
                "'0.4s' ~ 'soon'",
                "'priority':2 ~ 'priority':2.5",
                "'priority':2 ~ 'priority':'2'",
                "'weight':90 ~ 'weight':-1",
                "'weight':90 ~ 'weight':'1'",
                "'weight':90},{'service':'s2','weight':0.5} ~ 'weight':0}",
                "'weight':90},{'service':'s2','weight':0.5} ~ ",
                "'service':'s2' ~ 'service':'s3'",
                "'service':'s2', ~ ",
                "'maxAttempts':2 ~ 'maxAttempts':0",
                "'publicAccess':false ~ 'publicAccess':'no'",
                "'apiKeys':['k1','k2'] ~ 'apiKeys':['k1','k3']",
                "'apiKeys':['k1','k2'] ~ 'apiKeys':'k1'",
                "'apiKeys':['k1','k2'], ~ ",
                "'ratePerS':62 ~ 'ratePerS':-1",
                "'burstSize':62.5 ~ 'burstSize':-0.1",
                "'healthPath':'/health' ~ 'healthPath':'health'",
                "'maxConnections':120 ~ 'maxConnections':0",
                "'tls':false ~ 'tls':0",
                "16384 ~ 1",
                "16384 ~ 16384.5",
                "67108864 ~ -1",
                "'3000ms' ~ '11m'",
                "'15000ms' ~ '700s'",
                "'priority':2, ~ ",
                "'maxAttempts':2, ~ "
            })
    void whatIsNoValidWholeIsInvalid(String text, String instead) {
        String body = FULL.replace(text, instead == null ? "" : instead);
        assertThat(body).isNotEqualTo(FULL);
        Rejection refusal = ConfigurationChange.read(bytes(body))
                .flatMap(o -> o.against(Configuration.EMPTY))
                .getLeft();
        assertThat(refusal.kind()).as(refusal.reason()).isEqualTo(RejectionKind.INVALID);
    }

    @Test
    void versionsDecide() {
        Configuration one = taken(Configuration.EMPTY, service("s", 5, 1));
        nothing(one, service("s", 5, 1));
        nothing(
                one,
                "{'upsert':{'serviceTable':{'s':{'configVersion':'r5','maxConnections':1.0," + "'healthPath':'/h'}}}}");
        conflict(one, service("s", 5, 2), "r5 was taken with another content");
        conflict(one, withdraw("serviceTable", "s", 5), "r5 was taken with another content");
        Configuration two = taken(one, service("s", 7, 2));
        nothing(two, service("s", 5, 1));
        conflict(two, service("s", 5, 2), "r5 was taken with another content");
        // A call that brings a new item does not bring an older version of another one back.
        String both = service("s", 5, 1)
                .replace("}}}}", "}" + ",'z':{'healthPath':'/h','maxConnections':1,'configVersion':'r1'}}}}");
        assertThat(taken(two, both).get(new ItemKey(ItemType.SERVICES, "s")))
                .isEqualTo(two.get(new ItemKey(ItemType.SERVICES, "s")));
        conflict(
                two,
                both.replace("'maxConnections':1,'configVersion':'r5'", "'maxConnections':3,'configVersion':'r5'"),
                "r5 was taken");
        Configuration gone = taken(two, withdraw("serviceTable", "s", 8));
        assertThat(gone.standing(ItemType.SERVICES)).isEmpty();
        nothing(gone, withdraw("serviceTable", "s", 8));
        nothing(gone, service("s", 7, 2));
        conflict(gone, service("s", 8, 2), "r8 was taken");
        Configuration back = taken(gone, service("s", 9, 3));
        nothing(back, withdraw("serviceTable", "s", 8));
        assertThat(Configuration.of(
                        back.items().stream().map(i -> Item.of(i.toMap())).toList()))
                .isEqualTo(back);
        assertThat(taken(Configuration.EMPTY, withdraw("routeTable", "never", 9))
                        .items())
                .hasSize(1);
        nothing(Configuration.EMPTY, "{'upsert':{'limits':{},'routeTable':{}},'withdraw':{'routeTable':[]}}");
        nothing(Configuration.EMPTY, "{}");
    }

    /** What was taken is acknowledged again, or without a clear answer where too much has been since. */
    @Test
    void whatWasTakenIsNeverRefused() {
        Configuration standing = Configuration.EMPTY;
        int most = Item.MOST_PAST + 50;
        for (int version = 1; version <= most; version++) {
            standing = taken(standing, service("s", 2 * version, version));
            for (int old = Math.max(1, version - Item.MOST_PAST); old <= version; old += 5) {
                nothing(standing, service("s", 2 * old, old));
            }
        }
        Configuration read = Configuration.of(
                standing.items().stream().map(i -> Item.ofText(i.toText())).toList());
        assertThat(read).isEqualTo(standing);
        for (int version = 1; version <= most; version++) {
            boolean known = version >= most - Item.MOST_PAST;
            if (known) {
                nothing(read, service("s", 2 * version, version));
                conflict(read, service("s", 2 * version, version + 1), "was taken with another content");
            } else {
                forgotten(read, service("s", 2 * version, version));
                forgotten(read, service("s", 2 * version, version + 1));
            }
        }
        forgotten(
                read,
                service("s", 1, 1)
                        .replace("}}}}", "}" + ",'z':{'healthPath':'/h','maxConnections':1,'configVersion':'r1'}}}}"));
    }

    private static void forgotten(Configuration on, String body) {
        assertThat(order(body).against(on).getLeft().kind()).as(body).isEqualTo(RejectionKind.FORGOTTEN);
    }

    /** A version that was never used and that a higher one has passed comes into force nowhere. */
    @Test
    void whatIsPassedIsTakenAndSupersededInOneStep() {
        Configuration nine = taken(taken(Configuration.EMPTY, service("s", 3, 3)), service("s", 9, 9));
        Configuration both = taken(nine, service("s", 6, 6));
        assertThat(both.layout()).isEqualTo(nine.layout());
        nothing(both, service("s", 6, 6));
        conflict(both, service("s", 6, 7), "r6 was taken with another content");
        nothing(both, service("s", 3, 3));
        // In whatever order they come, the same is remembered.
        Item six = taken(taken(taken(Configuration.EMPTY, service("s", 3, 3)), service("s", 6, 6)), service("s", 9, 9))
                .get(new ItemKey(ItemType.SERVICES, "s"));
        assertThat(both.get(six.key())).isEqualTo(six);
        Configuration twice = taken(
                Configuration.EMPTY,
                "{'withdraw':{'serviceTable':["
                        + "{'name':'s','configVersion':'r9'},{'name':'s','configVersion':'r8'}]}}");
        nothing(twice, withdraw("serviceTable", "s", 8));
        conflict(twice, service("s", 8, 1), "r8 was taken");
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '~',
            quoteCharacter = '`',
            value = {
                "'2500ms' ~ '700s'",
                "'service':'s2' ~ 'service':'s3'",
                "'pathPrefix':'/p/' ~ 'pathPrefix':'/q/'",
                "'weight':90 ~ 'weight':-1"
            })
    void whatIsPassedMustBeValid(String text, String instead) {
        String route = "{'upsert':{'routeTable':{'r1':" + ROUTE + "}}}";
        Configuration later = taken(full(), route.replace("'r7'", "'r9'"));
        String passed = route.replace("'r7'", "'r8'");
        assertThat(taken(later, passed).layout()).isEqualTo(later.layout());
        Rejection refusal = order(passed.replace(text, instead)).against(later).getLeft();
        assertThat(refusal.kind()).as(refusal.reason()).isEqualTo(RejectionKind.INVALID);
    }

    /** What the build before wrote: the last eight, prints twice as long, and no floor. */
    @ParameterizedTest
    @ValueSource(ints = {7, 8})
    void itemsOfTheBuildBeforeAreRead(int kept) {
        Configuration standing = Configuration.EMPTY;
        List<Object> past = new ArrayList<>();
        for (int version = 2; version < 2 + kept; version++) {
            standing = taken(standing, service("s", version, version));
            Item item = standing.get(new ItemKey(ItemType.SERVICES, "s"));
            past.add(version + ":" + item.print());
            assertThat(item.print()).hasSize(32);
        }
        Map<String, Object> map = new LinkedHashMap<>(
                taken(standing, service("s", 30, 30)).items().get(0).toMap());
        map.put("past", past);
        map.remove("floor");
        Configuration read = Configuration.of(List.of(Item.of(map)));
        nothing(read, service("s", 2, 2));
        conflict(read, service("s", 3, 2), "was taken with another content");
        taken(read, service("s", 20, 2));
        if (kept == 8) {
            forgotten(read, service("s", 1, 1));
        } else {
            taken(read, service("s", 1, 1));
        }
    }

    @Test
    void theWholeMustBeValidAfterEveryCall() {
        Configuration all = full();
        assertThat(order(withdraw("serviceTable", "s2", 8))
                        .against(all)
                        .getLeft()
                        .reason())
                .contains("routeTable.r1")
                .contains("s2");
        // Together with the route that names it, it may go.
        String both = "{'withdraw':{'serviceTable':[{'name':'s2','configVersion':'r8'}],"
                + "'routeTable':[{'name':'r1','configVersion':'r8'}]}}";
        assertThat(taken(all, both).standing(ItemType.ROUTES)).hasSize(1);
        String twin = "{'upsert':{'routeTable':{'r3':" + OTHER.replace("a.ex", "A.Ex") + "}}}";
        assertThat(order(twin).against(all).getLeft().kind()).isEqualTo(RejectionKind.INVALID);
        assertThat(order(twin.replace("}}}", "}},'tenantTable':{'t3':{'apiKeys':['k1'],'configVersion':'r1'}}}")
                                .replace("/q/", "/x/"))
                        .against(all)
                        .getLeft()
                        .reason())
                .contains("apiKey");
        assertThat(Map.copyOf(all.layout())).isEqualTo(Map.copyOf(full().layout()));
    }

    @Test
    void keysGoFromOneTenantToAnother() {
        Configuration all = taken(
                full(),
                "{'upsert':{'tenantTable':{'t':{'apiKeys':['k3'],'configVersion':'r8'},"
                        + "'t2':{'apiKeys':['k1'],'configVersion':'r8'}}}}");
        String third = "{'upsert':{'tenantTable':{'t3':{'apiKeys':['KEY'],'configVersion':'r1'}}}}";
        assertThat(order(third.replace("KEY", "k1")).against(all).isLeft()).isTrue();
        assertThat(order(third.replace("KEY", "k3")).against(all).isLeft()).isTrue();
        assertThat(order(third.replace("KEY", "k2")).against(all).isRight()).isTrue();
        all = taken(all, withdraw("tenantTable", "t2", 9));
        assertThat(order(third.replace("KEY", "k1")).against(all).isRight()).isTrue();
        assertThat(order(third.replace("KEY", "k3")).against(all).isLeft()).isTrue();
    }
}
