package org.cypressweir.dataplane.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import org.cypressweir.dataplane.quota.UnconnectedRequester;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.NullSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Which requests need the key of a tenant, and which keys are accepted, while tenants come and go. */
class ApiKeyCheckTest {

    private static final int UNAUTHORIZED = 401;

    private final OutboundListenerFixture fixture = new OutboundListenerFixture(new UnconnectedRequester());
    private int requestCount;

    @BeforeEach
    void configure() {
        fixture.change(OutboundListenerFixture.services("'service':'a'", "a"));
        fixture.setEndpoints("a");
    }

    private int status(String path, String key) {
        OutboundListenerFixture.Client client = fixture.request(path, "id" + requestCount++, key);
        fixture.advance(10_000);
        return client.status();
    }

    private void addTenant(String name, String version) {
        fixture.change("{'upsert':{'tenantTable':{'" + name + "':{'apiKeys':['key-" + name + "'],'priority':1,"
                + "'configVersion':'" + version + "'}}}}");
    }

    private void withdrawTenant(String name, String version) {
        fixture.change("{'withdraw':{'tenantTable':[{'name':'" + name + "','configVersion':'" + version + "'}]}}");
    }

    @Test
    void configurationThatNeverHadATenantNeedsNoKey() {
        assertThat(status("/i/x", null)).isEqualTo(200);
    }

    @Test
    void keyOfATenantIsAcceptedAndOthersAreNot() {
        addTenant("t", "r1");
        assertThat(status("/i/x", "key-t")).isEqualTo(200);
        assertThat(status("/i/x", "key-u")).isEqualTo(UNAUTHORIZED);
        assertThat(status("/i/x", null)).isEqualTo(UNAUTHORIZED);
    }

    /** Guards against all routes being open to everybody once the last tenant was withdrawn. */
    @ParameterizedTest
    @NullSource
    @ValueSource(strings = {"key-t", "key-never-held"})
    void noRequestRunsAfterTheLastTenantWasWithdrawn(String key) {
        addTenant("t", "r1");
        withdrawTenant("t", "r2");
        assertThat(status("/i/x", key)).isEqualTo(UNAUTHORIZED);
        assertThat(status("/n/x", key)).isEqualTo(UNAUTHORIZED);
        assertThat(fixture.sent).isEmpty();
    }

    /** The same at a proxy that has never seen the tenant in force, since it started later. */
    @Test
    void noRequestRunsAtAProxyThatStartsAfterTheLastTenantWasWithdrawn() {
        addTenant("t", "r1");
        withdrawTenant("t", "r2");
        fixture.restart();
        assertThat(status("/i/x", "key-t")).isEqualTo(UNAUTHORIZED);
        assertThat(fixture.sent).isEmpty();
    }

    @Test
    void publicRouteStaysOpenAfterTheLastTenantWasWithdrawn() {
        addTenant("t", "r1");
        withdrawTenant("t", "r2");
        assertThat(status("/p/x", null)).isEqualTo(200);
    }

    @Test
    void tenantThatIsConfiguredAgainIsAccepted() {
        addTenant("t", "r1");
        withdrawTenant("t", "r2");
        addTenant("t", "r3");
        assertThat(status("/i/x", "key-t")).isEqualTo(200);
    }
}
