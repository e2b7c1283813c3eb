package org.cypressweir.controlplane.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.core.JsonFactory;
import java.io.IOException;
import java.math.BigDecimal;
import java.util.List;
import java.util.Map;
import org.cypressweir.common.util.Json;
import org.junit.jupiter.api.Test;

/** Items keep all fields that operators submitted, and are read as typed configurations. */
class ConfigurationTest {

    private static final String UNKNOWN_FIELDS = "{'upsert':{'tenantTable':{'t':{'zeta':{'b':[1,null,{'c':1.50}],"
            + "'a':'\\u20ac\\n'},'apiKeys':['k'],'big':123456789012345678901234567890,'small':1e-3,"
            + "'configVersion':'r3'}}}}";

    @Test
    void unknownFieldsAreKept() throws IOException {
        Configuration configuration =
                Configuration.of(ConfigurationChangeTest.change(UNKNOWN_FIELDS).items());
        Map<String, Object> content =
                configuration.get(new ItemKey(ItemType.TENANTS, "t")).content();
        assertThat(content.keySet()).containsExactly("zeta", "apiKeys", "big", "small", "configVersion");
        assertThat(content.get("big")).hasToString("123456789012345678901234567890");
        assertThat(((Map<?, ?>) content.get("zeta")).get("a")).isEqualTo("\u20ac\n");
        List<?> list = Json.array((Map<?, ?>) content.get("zeta"), "b");
        assertThat(list.get(0)).isEqualTo(1L);
        assertThat(list.get(1)).isNull();
        for (Item item : configuration
                .with(ConfigurationChangeTest.fullConfiguration().items())
                .items()) {
            Item successor = item.replacing(new Item(item.key(), 1, null)).replacing(item);
            String text = JsonTextWriter.write(successor.toMap());
            assertThat(Item.of(Json.document(new JsonFactory().createParser(text))))
                    .isEqualTo(successor);
            assertThat(Item.ofText(successor.toText())).isEqualTo(successor);
        }
        assertThat(configuration.layout())
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
    void itemsAreReadAsTypedConfigurations() {
        Configuration full = ConfigurationChangeTest.fullConfiguration();
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
                        .destinations())
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
        assertThat(ClientLimits.of(full.get(ItemKey.LIMITS)).get()).isEqualTo(ClientLimits.DEFAULTS);
        assertThat(ClientLimits.of(null).get().maxBodyBytes()).isEqualTo(64L << 20);
        assertThat(full.active(ItemType.LIMITS).get(0).content().get("maxHeaderBytes"))
                .isEqualTo(16_384L);
        assertThat(full.get(new ItemKey(ItemType.TENANTS, "t")).content().get("burstSize"))
                .isInstanceOfAny(BigDecimal.class, Double.class);
    }
}
