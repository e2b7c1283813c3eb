package larkbank.manifest;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.core.JsonFactory;
import java.io.IOException;
import java.math.BigDecimal;
import java.util.List;
import java.util.Map;
import larkbank.Json;
import org.junit.jupiter.api.Test;

/** What was sent is handed back, and read by its types. */
class ManifestTest {

    private static final String ODD = "{'upsert':{'tenantTable':{'t':{'zeta':{'b':[1,null,{'c':1.50}],"
            + "'a':'\\u20ac\\n'},'apiKeys':['k'],'big':123456789012345678901234567890,'small':1e-3,"
            + "'configVersion':'r3'}}}}";

    @Test
    void unknownFieldsGoRoundAsTheyAre() throws IOException {
        Manifest manifest = Manifest.of(OrderTest.order(ODD).items());
        Map<String, Object> content = manifest.get(new Key(Table.TENANTS, "t")).content();
        assertThat(content.keySet()).containsExactly("zeta", "apiKeys", "big", "small", "configVersion");
        assertThat(content.get("big")).hasToString("123456789012345678901234567890");
        assertThat(((Map<?, ?>) content.get("zeta")).get("a")).isEqualTo("\u20ac\n");
        List<?> list = Json.array((Map<?, ?>) content.get("zeta"), "b");
        assertThat(list.get(0)).isEqualTo(1L);
        assertThat(list.get(1)).isNull();
        for (Item item : manifest.with(OrderTest.full().items()).items()) {
            Item past = item.after(new Item(item.key(), 1, null)).after(item);
            String text = JsonText.of(past.toMap());
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
        Manifest full = OrderTest.full();
        assertThat(RouteTerms.of(full.get(new Key(Table.ROUTES, "r1"))).get())
                .isEqualTo(new RouteTerms(
                        "r1",
                        "a.example",
                        "/p/",
                        true,
                        2_500_000,
                        400_000,
                        2,
                        List.of(new Split("s", 90), new Split("s2", 0.5)),
                        2,
                        false));
        assertThat(RouteTerms.of(full.get(new Key(Table.ROUTES, "r2"))).get().splits())
                .containsExactly(new Split("s", 1));
        assertThat(TenantTerms.of(full.get(new Key(Table.TENANTS, "t"))).get())
                .isEqualTo(new TenantTerms("t", List.of("k1", "k2"), 1, 62, 62.5));
        assertThat(TenantTerms.of(full.get(new Key(Table.TENANTS, "t2"))).get())
                .isEqualTo(new TenantTerms("t2", List.of("k3"), null, 0, 0));
        assertThat(ServiceTerms.of(full.get(new Key(Table.SERVICES, "s"))).get())
                .isEqualTo(new ServiceTerms("s", "/health", 120));
        assertThat(ClientLimits.of(full.get(Key.LIMITS)).get()).isEqualTo(ClientLimits.USUAL);
        assertThat(ClientLimits.of(null).get().maxBodyBytes()).isEqualTo(64L << 20);
        assertThat(full.standing(Table.LIMITS).get(0).content().get("maxHeaderBytes"))
                .isEqualTo(16_384L);
        assertThat(full.get(new Key(Table.TENANTS, "t")).content().get("burstSize"))
                .isInstanceOfAny(BigDecimal.class, Double.class);
    }
}
