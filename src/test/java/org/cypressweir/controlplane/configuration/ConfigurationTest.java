package org.cypressweir.controlplane.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.core.JsonFactory;
import java.io.IOException;
import java.math.BigDecimal;
import java.util.List;
import java.util.Map;
import org.cypressweir.common.util.Json;
import org.junit.jupiter.api.Test;

/** What was sent is handed back, and read by its types. */
class ConfigurationTest {

    private static final String ODD = "{'upsert':{'tenantTable':{'t':{'zeta':{'b':[1,null,{'c':1.50}],"
            + "'a':'\\u20ac\\n'},'apiKeys':['k'],'big':123456789012345678901234567890,'small':1e-3,"
            + "'configVersion':'r3'}}}}";

    @Test
    void unknownFieldsGoRoundAsTheyAre() throws IOException {
        Configuration manifest =
                Configuration.of(ConfigurationChangeTest.order(ODD).items());
        Map<String, Object> content =
                manifest.get(new ItemKey(ItemType.TENANTS, "t")).content();
        assertThat(content.keySet()).containsExactly("zeta", "apiKeys", "big", "small", "configVersion");
        assertThat(content.get("big")).hasToString("123456789012345678901234567890");
        assertThat(((Map<?, ?>) content.get("zeta")).get("a")).isEqualTo("\u20ac\n");
        List<?> list = Json.array((Map<?, ?>) content.get("zeta"), "b");
        assertThat(list.get(0)).isEqualTo(1L);
        assertThat(list.get(1)).isNull();
        for (Item item : manifest.with(ConfigurationChangeTest.full().items()).items()) {
            Item past = item.after(new Item(item.key(), 1, null)).after(item);
            String text = StrictJson.of(past.toMap());
            assertThat(Item.of(Json.document(new JsonFactory().createParser(text))))
                    .isEqualTo(past);
            assertThat(Item.ofText(past.toText())).isEqualTo(past);
        }
        assertThat(manifest.layout())
                .isEqualTo(Map.of(
                        "routeTable",
                        Map.of(),
                        "tenantTable",
                        Map.of("t", content),
                        "serviceTable",
                        Map.of(),
                        "limits",
                        Map.of()));
    }

    @Test
    void termsAreRead() {
        Configuration full = ConfigurationChangeTest.full();
        assertThat(RouteConfiguration.of(full.get(new ItemKey(ItemType.ROUTES, "r1")))
                        .get())
                .isEqualTo(new RouteConfiguration(
                        "r1",
                        "a.example",
                        "/p/",
                        true,
                        2_500_000,
                        400_000,
                        2,
                        List.of(new WeightedDestination("s", 90), new WeightedDestination("s2", 0.5)),
                        2,
                        false));
        assertThat(RouteConfiguration.of(full.get(new ItemKey(ItemType.ROUTES, "r2")))
                        .get()
                        .splits())
                .containsExactly(new WeightedDestination("s", 1));
        assertThat(TenantConfiguration.of(full.get(new ItemKey(ItemType.TENANTS, "t")))
                        .get())
                .isEqualTo(new TenantConfiguration("t", List.of("k1", "k2"), 1, 62, 62.5));
        assertThat(TenantConfiguration.of(full.get(new ItemKey(ItemType.TENANTS, "t2")))
                        .get())
                .isEqualTo(new TenantConfiguration("t2", List.of("k3"), null, 0, 0));
        assertThat(ServiceConfiguration.of(full.get(new ItemKey(ItemType.SERVICES, "s")))
                        .get())
                .isEqualTo(new ServiceConfiguration("s", "/health", 120));
        assertThat(ClientLimits.of(full.get(ItemKey.LIMITS)).get()).isEqualTo(ClientLimits.USUAL);
        assertThat(ClientLimits.of(null).get().maxBodyBytes()).isEqualTo(64L << 20);
        assertThat(full.standing(ItemType.LIMITS).get(0).content().get("maxHeaderBytes"))
                .isEqualTo(16_384L);
        assertThat(full.get(new ItemKey(ItemType.TENANTS, "t")).content().get("burstSize"))
                .isInstanceOfAny(BigDecimal.class, Double.class);
    }
}
