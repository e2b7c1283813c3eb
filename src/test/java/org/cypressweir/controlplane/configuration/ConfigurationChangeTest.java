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

/** Which changes a configuration accepts, and why others are rejected. */
class ConfigurationChangeTest {

    static final String ROUTE = "{'hostname':'A.example','pathPrefix':'/p/','routeType':'idempotent',"
            + "'timeout':'2500ms','targetLatency':'0.4s','priority':2,"
            + "'weightedSplit':[{'service':'s','weight':90},{'service':'s2','weight':0.5}],"
            + "'maxAttempts':2,'publicAccess':false,'configVersion':'r7'}";
    static final String SECOND_ROUTE = "{'hostname':'a.example','pathPrefix':'/q/','routeType':'non_idempotent',"
            + "'timeout':'3s','targetLatency':'500ms','priority':1,'service':'s','maxAttempts':1,"
            + "'publicAccess':true,'configVersion':'r7'}";
    static final String SERVICE =
            "{'healthPath':'/health','maxConnections':120,'protocol':'h1','tls':false," + "'configVersion':'r7'}";
    static final String TENANT =
            "{'apiKeys':['k1','k2'],'priority':1,'ratePerS':62,'burstSize':62.5," + "'configVersion':'r7'}";
    static final String LIMITS = "{'maxHeaderBytes':16384,'maxBodyBytes':67108864,'headerTimeout':'3000ms',"
            + "'idleTimeout':'15000ms','configVersion':'r7'}";
    static final String FULL = "{'upsert':{'routeTable':{'r1':" + ROUTE + ",'r2':" + SECOND_ROUTE
            + "},'tenantTable':{'t':" + TENANT + ",'t2':{'apiKeys':['k3'],'configVersion':'r1'}},"
            + "'serviceTable':{'s':" + SERVICE + ",'s2':" + SERVICE + "},'limits':" + LIMITS + "}}";

    static byte[] bytes(String body) {
        return body.replace('\'', '"').getBytes(StandardCharsets.UTF_8);
    }

    static ConfigurationChange change(String body) {
        return ConfigurationChange.read(bytes(body)).get();
    }

    static Configuration fullConfiguration() {
        return Configuration.EMPTY.with(
                change(FULL).applyTo(Configuration.EMPTY).get());
    }

    private static String withdraw(String table, String name, int version) {
        return "{'withdraw':{'" + table + "':[{'name':'" + name + "','configVersion':'r" + version + "'}]}}";
    }

    private static String service(String name, int version, int connections) {
        return "{'upsert':{'serviceTable':{'" + name + "':{'healthPath':'/h','maxConnections':" + connections
                + ",'configVersion':'r" + version + "'}}}}";
    }

    private static void assertConflict(Configuration current, String body, String reason) {
        Rejection rejection = change(body).applyTo(current).getLeft();
        assertThat(rejection.kind()).isEqualTo(RejectionKind.CONFLICT);
        assertThat(rejection.reason()).contains(reason);
    }

    private static Configuration accept(Configuration current, String body) {
        List<Item> changes = change(body).applyTo(current).get();
        assertThat(changes).isNotEmpty();
        return current.with(changes);
    }

    private static void assertNoChange(Configuration current, String body) {
        assertThat(change(body).applyTo(current).get()).isEmpty();
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
    void malformedChangeIsInvalid(String body) {
        Rejection rejection = ConfigurationChange.read(bytes(body)).getLeft();
        assertThat(rejection.kind()).isEqualTo(RejectionKind.INVALID);
        assertThat(rejection.reason()).isNotBlank();
    }

    /** The texts for malformed changes, which operators read. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '~',
            quoteCharacter = '`',
            value = {
                "{'more':{}} ~ \"more\" is unknown",
                "{'upsert':{'other':{}}} ~ upsert.other is not a known table",
                "{'upsert':[]} ~ upsert must be an object",
                "{'upsert':{'tenantTable':{'':{}}}} ~ upsert.tenantTable has an item without a name",
                "{'withdraw':{'limits':[]}} ~ withdraw.limits is not a table that items can be withdrawn from",
                "{'withdraw':{'routeTable':{}}} ~ withdraw.routeTable must be a list",
                "{'withdraw':{'routeTable':[{}]}} ~ withdraw.routeTable[0].name is missing",
                "{'upsert':{'limits':{'configVersion':7}}} ~ upsert.limits.configVersion must be a string",
                "{'upsert':{'limits':{'configVersion':'7'}}} ~ "
                        + "upsert.limits.configVersion must be r followed by a number",
                "{'upsert':{},'upsert':{}} ~ duplicate name \"upsert\"",
                "{} x ~ unexpected data after the JSON object at byte 3",
                "[] ~ not a JSON object"
            })
    void reasonNamesFieldAndProblem(String body, String reason) {
        Rejection rejection = ConfigurationChange.read(bytes(body)).getLeft();
        assertThat(rejection).isEqualTo(Rejection.invalid(reason));
    }

    /** Tools of operators sometimes withdraw a name twice in one call. */
    @Test
    void highestVersionOfOneCallIsInForce() {
        Configuration current = accept(
                fullConfiguration(),
                "{'withdraw':{'routeTable':[{'name':'r-1','configVersion':'r8'},"
                        + "{'name':'r-1','configVersion':'r9'},{'name':'r-1','configVersion':'r9'}]}}");
        assertThat(current.get(new ItemKey(ItemType.ROUTES, "r-1")).version()).isEqualTo(9);
    }

    @Test
    void truncatedChangeIsInvalid() {
        byte[] complete = bytes(FULL);
        for (int length = 0; length < complete.length; length++) {
            assertThat(ConfigurationChange.read(Arrays.copyOf(complete, length)).isLeft())
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
    void changeToInvalidConfigurationIsInvalid(String text, String replacement) {
        String body = FULL.replace(text, replacement == null ? "" : replacement);
        assertThat(body).isNotEqualTo(FULL);
        Rejection rejection = ConfigurationChange.read(bytes(body))
                .flatMap(change -> change.applyTo(Configuration.EMPTY))
                .getLeft();
        assertThat(rejection.kind()).as(rejection.reason()).isEqualTo(RejectionKind.INVALID);
    }

    @Test
    void higherVersionsReplaceLowerOnes() {
        Configuration first = accept(Configuration.EMPTY, service("s", 5, 1));
        assertNoChange(first, service("s", 5, 1));
        assertNoChange(
                first,
                "{'upsert':{'serviceTable':{'s':{'configVersion':'r5','maxConnections':1.0," + "'healthPath':'/h'}}}}");
        assertConflict(first, service("s", 5, 2), "r5 was already accepted with different content");
        assertConflict(first, withdraw("serviceTable", "s", 5), "r5 was already accepted with different content");
        Configuration second = accept(first, service("s", 7, 2));
        assertNoChange(second, service("s", 5, 1));
        assertConflict(second, service("s", 5, 2), "r5 was already accepted with different content");
        // A call with a new item does not restore an older version of another item.
        String both = service("s", 5, 1)
                .replace("}}}}", "}" + ",'z':{'healthPath':'/h','maxConnections':1,'configVersion':'r1'}}}}");
        assertThat(accept(second, both).get(new ItemKey(ItemType.SERVICES, "s")))
                .isEqualTo(second.get(new ItemKey(ItemType.SERVICES, "s")));
        assertConflict(
                second,
                both.replace("'maxConnections':1,'configVersion':'r5'", "'maxConnections':3,'configVersion':'r5'"),
                "r5 was already accepted");
        Configuration withdrawn = accept(second, withdraw("serviceTable", "s", 8));
        assertThat(withdrawn.active(ItemType.SERVICES)).isEmpty();
        assertNoChange(withdrawn, withdraw("serviceTable", "s", 8));
        assertNoChange(withdrawn, service("s", 7, 2));
        assertConflict(withdrawn, service("s", 8, 2), "r8 was already accepted");
        Configuration restored = accept(withdrawn, service("s", 9, 3));
        assertNoChange(restored, withdraw("serviceTable", "s", 8));
        assertThat(Configuration.of(
                        restored.items().stream().map(i -> Item.of(i.toMap())).toList()))
                .isEqualTo(restored);
        assertThat(accept(Configuration.EMPTY, withdraw("routeTable", "never", 9))
                        .items())
                .hasSize(1);
        assertNoChange(Configuration.EMPTY, "{'upsert':{'limits':{},'routeTable':{}},'withdraw':{'routeTable':[]}}");
        assertNoChange(Configuration.EMPTY, "{}");
    }

    /** A repeated version is acknowledged again, or too old once many versions have followed; it is no conflict. */
    @Test
    void acceptedChangeIsNeverRejected() {
        Configuration current = Configuration.EMPTY;
        int versions = Item.MAX_SUPERSEDED + 50;
        for (int version = 1; version <= versions; version++) {
            current = accept(current, service("s", 2 * version, version));
            for (int lower = Math.max(1, version - Item.MAX_SUPERSEDED); lower <= version; lower += 5) {
                assertNoChange(current, service("s", 2 * lower, lower));
            }
        }
        Configuration decoded = Configuration.of(
                current.items().stream().map(i -> Item.ofText(i.toText())).toList());
        assertThat(decoded).isEqualTo(current);
        for (int version = 1; version <= versions; version++) {
            boolean known = version >= versions - Item.MAX_SUPERSEDED;
            if (known) {
                assertNoChange(decoded, service("s", 2 * version, version));
                assertConflict(
                        decoded, service("s", 2 * version, version + 1), "was already accepted with different content");
            } else {
                assertTooOld(decoded, service("s", 2 * version, version));
                assertTooOld(decoded, service("s", 2 * version, version + 1));
            }
        }
        assertTooOld(
                decoded,
                service("s", 1, 1)
                        .replace("}}}}", "}" + ",'z':{'healthPath':'/h','maxConnections':1,'configVersion':'r1'}}}}"));
    }

    /** The texts for conflicts between items or versions. */
    @Test
    void reasonNamesBothItems() {
        Configuration current = fullConfiguration();
        String route = "{'upsert':{'routeTable':{'r3':" + SECOND_ROUTE + "}}}";
        assertRejected(
                current, route, "routeTable.r3 has the same hostname and pathPrefix as routeTable.r2: a.example/q/");
        assertRejected(
                current,
                route.replace("'service':'s'", "'service':'none'"),
                "routeTable.r3 names service none, which is unknown");
        assertRejected(
                current,
                route.replace("'service':'s'", "'service':'s','weightedSplit':[]"),
                "routeTable.r3.service must not be there beside weightedSplit");
        assertRejected(
                current,
                "{'upsert':{'tenantTable':{'t3':{'apiKeys':['k1'],'configVersion':'r1'}}}}",
                "tenantTable.t3 has the same apiKey as tenantTable.t");
        assertRejected(
                current,
                withdraw("serviceTable", "s", 7),
                "serviceTable.s r7 was already accepted with different content");
    }

    private static void assertRejected(Configuration current, String body, String reason) {
        assertThat(change(body).applyTo(current).getLeft().reason()).isEqualTo(reason);
    }

    private static void assertTooOld(Configuration current, String body) {
        assertThat(change(body).applyTo(current).getLeft().kind()).as(body).isEqualTo(RejectionKind.VERSION_TOO_OLD);
    }

    /** A version that arrives after a higher one never comes into force. */
    @Test
    void lateLowerVersionIsAcceptedAndSuperseded() {
        Configuration ninth = accept(accept(Configuration.EMPTY, service("s", 3, 3)), service("s", 9, 9));
        Configuration both = accept(ninth, service("s", 6, 6));
        assertThat(both.layout()).isEqualTo(ninth.layout());
        assertNoChange(both, service("s", 6, 6));
        assertConflict(both, service("s", 6, 7), "r6 was already accepted with different content");
        assertNoChange(both, service("s", 3, 3));
        // The history does not depend on the order of arrival.
        Item sixth = accept(
                        accept(accept(Configuration.EMPTY, service("s", 3, 3)), service("s", 6, 6)), service("s", 9, 9))
                .get(new ItemKey(ItemType.SERVICES, "s"));
        assertThat(both.get(sixth.key())).isEqualTo(sixth);
        Configuration withdrawnTwice = accept(
                Configuration.EMPTY,
                "{'withdraw':{'serviceTable':["
                        + "{'name':'s','configVersion':'r9'},{'name':'s','configVersion':'r8'}]}}");
        assertNoChange(withdrawnTwice, withdraw("serviceTable", "s", 8));
        assertConflict(withdrawnTwice, service("s", 8, 1), "r8 was already accepted");
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
    void lateLowerVersionMustBeValid(String text, String replacement) {
        String route = "{'upsert':{'routeTable':{'r1':" + ROUTE + "}}}";
        Configuration later = accept(fullConfiguration(), route.replace("'r7'", "'r9'"));
        String lateChange = route.replace("'r7'", "'r8'");
        assertThat(accept(later, lateChange).layout()).isEqualTo(later.layout());
        Rejection rejection =
                change(lateChange.replace(text, replacement)).applyTo(later).getLeft();
        assertThat(rejection.kind()).as(rejection.reason()).isEqualTo(RejectionKind.INVALID);
    }

    /** An earlier build wrote up to eight superseded versions, hashes twice as long, no oldest known version. */
    @ParameterizedTest
    @ValueSource(ints = {7, 8})
    void itemsOfEarlierBuildAreRead(int supersededCount) {
        Configuration current = Configuration.EMPTY;
        List<Object> superseded = new ArrayList<>();
        for (int version = 2; version < 2 + supersededCount; version++) {
            current = accept(current, service("s", version, version));
            Item item = current.get(new ItemKey(ItemType.SERVICES, "s"));
            superseded.add(version + ":" + item.contentHash());
            assertThat(item.contentHash()).hasSize(32);
        }
        Map<String, Object> map = new LinkedHashMap<>(
                accept(current, service("s", 30, 30)).items().get(0).toMap());
        map.put("past", superseded);
        map.remove("floor");
        Configuration decoded = Configuration.of(List.of(Item.of(map)));
        assertNoChange(decoded, service("s", 2, 2));
        assertConflict(decoded, service("s", 3, 2), "was already accepted with different content");
        accept(decoded, service("s", 20, 2));
        if (supersededCount == 8) {
            assertTooOld(decoded, service("s", 1, 1));
        } else {
            accept(decoded, service("s", 1, 1));
        }
    }

    @Test
    void relationsBetweenItemsMustBeValid() {
        Configuration all = fullConfiguration();
        assertThat(change(withdraw("serviceTable", "s2", 8))
                        .applyTo(all)
                        .getLeft()
                        .reason())
                .contains("routeTable.r1")
                .contains("s2");
        // A service may be withdrawn together with the route that refers to it.
        String both = "{'withdraw':{'serviceTable':[{'name':'s2','configVersion':'r8'}],"
                + "'routeTable':[{'name':'r1','configVersion':'r8'}]}}";
        assertThat(accept(all, both).active(ItemType.ROUTES)).hasSize(1);
        String duplicateRoute = "{'upsert':{'routeTable':{'r3':" + SECOND_ROUTE.replace("a.ex", "A.Ex") + "}}}";
        assertThat(change(duplicateRoute).applyTo(all).getLeft().kind()).isEqualTo(RejectionKind.INVALID);
        assertThat(change(duplicateRoute
                                .replace("}}}", "}},'tenantTable':{'t3':{'apiKeys':['k1'],'configVersion':'r1'}}}")
                                .replace("/q/", "/x/"))
                        .applyTo(all)
                        .getLeft()
                        .reason())
                .contains("apiKey");
        assertThat(Map.copyOf(all.layout()))
                .isEqualTo(Map.copyOf(fullConfiguration().layout()));
    }

    @Test
    void apiKeysMayMoveBetweenTenants() {
        Configuration all = accept(
                fullConfiguration(),
                "{'upsert':{'tenantTable':{'t':{'apiKeys':['k3'],'configVersion':'r8'},"
                        + "'t2':{'apiKeys':['k1'],'configVersion':'r8'}}}}");
        String thirdTenant = "{'upsert':{'tenantTable':{'t3':{'apiKeys':['KEY'],'configVersion':'r1'}}}}";
        assertThat(change(thirdTenant.replace("KEY", "k1")).applyTo(all).isLeft())
                .isTrue();
        assertThat(change(thirdTenant.replace("KEY", "k3")).applyTo(all).isLeft())
                .isTrue();
        assertThat(change(thirdTenant.replace("KEY", "k2")).applyTo(all).isRight())
                .isTrue();
        all = accept(all, withdraw("tenantTable", "t2", 9));
        assertThat(change(thirdTenant.replace("KEY", "k1")).applyTo(all).isRight())
                .isTrue();
        assertThat(change(thirdTenant.replace("KEY", "k3")).applyTo(all).isLeft())
                .isTrue();
    }
}
