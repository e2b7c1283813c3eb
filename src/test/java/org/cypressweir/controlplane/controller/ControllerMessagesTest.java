package org.cypressweir.controlplane.controller;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.cypressweir.common.transport.JsonCodec;
import org.cypressweir.common.transport.RecordedPeerConnection;
import org.cypressweir.controlplane.consensus.ProposalNumber;
import org.junit.jupiter.api.Test;

/** Decodes messages of proxies and the hello of controllers as other builds send them. */
class ControllerMessagesTest {

    private static final String HELLO = "{\"t\":\"hello\",\"kind\":\"harbour\",\"address\":\"10.0.0.1:7\","
            + "\"member\":\"10.0.0.1:7/42\",\"control\":\"10.0.0.1:9\"}";

    private static ControllerMessages.Hello hello(String json) {
        return ControllerMessages.decodeHello(RecordedPeerConnection.header(json));
    }

    private static ProxyMessage decoded(String json) {
        return ControllerMessages.decode(RecordedPeerConnection.header(json), 0);
    }

    @Test
    void helloOfAControllerIsEncodedAndDecoded() {
        Map<String, Object> message = ControllerMessages.hello("10.0.0.1:7", "10.0.0.1:7/42", "10.0.0.1:9");
        assertThat(new String(JsonCodec.bytes(message), StandardCharsets.UTF_8)).isEqualTo(HELLO);
        assertThat(hello(HELLO))
                .isEqualTo(new ControllerMessages.Hello(true, "", "10.0.0.1:7/42", "10.0.0.1:7", "10.0.0.1:9"));
    }

    @Test
    void aControllerWithoutMemberIsKnownByItsAddress() {
        ControllerMessages.Hello hello =
                hello("{\"t\":\"hello\",\"kind\":\"harbour\",\"address\":\"10.0.0.1:7\",\"control\":\"10.0.0.1:9\"}");
        assertThat(hello.member()).isEqualTo("10.0.0.1:7");
    }

    @Test
    void helloOfAProxyHasItsName() {
        ControllerMessages.Hello hello = hello("{\"t\":\"hello\",\"kind\":\"pilot\",\"name\":\"proxy-1\"}");
        assertThat(hello.isController()).isFalse();
        assertThat(hello.name()).isEqualTo("proxy-1");
    }

    @Test
    void messagesOfAProxyAreDecodedByTheirKind() {
        assertThat(decoded("{\"t\":\"berth\",\"berth\":{}}")).isEqualTo(new ProxyMessage.Registration(null));
        assertThat(decoded("{\"t\":\"follow\",\"life\":900,\"place\":3}"))
                .isEqualTo(new ProxyMessage.EndpointSubscription(900, 3));
        assertThat(decoded("{\"t\":\"follow\"}")).isEqualTo(new ProxyMessage.EndpointSubscription(0, -1));
        assertThat(decoded("{\"t\":\"contact\",\"asked\":4}")).isEqualTo(new ProxyMessage.ContactQuery(4));
        assertThat(decoded("{\"t\":\"want\",\"have\":\"3@10.0.0.1:7\"}"))
                .isEqualTo(new ProxyMessage.ConfigurationRequest(new ProposalNumber(3, "10.0.0.1:7")));
        assertThat(decoded("{\"t\":\"tally\",\"asked\":{\"acme\":2.5},\"whole\":true}"))
                .isEqualTo(new ProxyMessage.DemandReport(Map.of("acme", 2.5), true));
        assertThat(decoded("{\"t\":\"sums\",\"on\":true}")).isEqualTo(new ProxyMessage.DemandSubscription(true));
        assertThat(decoded("{\"t\":\"quota.surplus\",\"tokens\":{\"acme\":3,\"till\":\"x\"}}"))
                .isEqualTo(new ProxyMessage.TokenSurplus(Map.of("acme", 3)));
        assertThat(decoded("{\"t\":\"quota.request\",\"tenant\":\"acme\",\"count\":2}"))
                .isEqualTo(new ProxyMessage.TokenRequest("acme", 2));
        assertThat(decoded("{\"t\":\"quota.proxies\",\"count\":5}")).isEqualTo(new ProxyMessage.ProxyCount(5));
        assertThat(decoded("{\"t\":\"later\"}")).isEqualTo(new ProxyMessage.Unknown());
    }

    @Test
    void aMalformedVersionIsAnError() {
        assertThatThrownBy(() -> decoded("{\"t\":\"want\",\"have\":\"\"}"))
                .isInstanceOf(IllegalArgumentException.class);
    }
}
