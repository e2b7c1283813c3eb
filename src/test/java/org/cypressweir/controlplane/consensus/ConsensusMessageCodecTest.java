package org.cypressweir.controlplane.consensus;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.cypressweir.controlplane.configuration.Item;
import org.cypressweir.controlplane.configuration.ItemKey;
import org.cypressweir.controlplane.configuration.ItemType;
import org.cypressweir.testkit.JsonCopy;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class ConsensusMessageCodecTest {

    private static final ProposalNumber NUMBER = new ProposalNumber(7, "10.0.0.1:7/3");
    private static final ProposalNumber BASE = new ProposalNumber(5, "10.0.0.2:7");
    private static final List<String> VOTERS = List.of("10.0.0.1:7/3", "10.0.0.2:7");
    private static final List<Item> ITEMS =
            List.of(new Item(new ItemKey(ItemType.TENANTS, "acme"), 1, Map.of("priority", 2L)));

    static Stream<ConsensusMessage> messages() {
        return Stream.of(
                new ConsensusMessage.Prepare("10.0.0.2:7", NUMBER),
                new ConsensusMessage.Prepare(null, NUMBER),
                new ConsensusMessage.Promise(NUMBER, BASE, ProposalNumber.ZERO, VOTERS, true),
                new ConsensusMessage.Rejected(BASE, NUMBER),
                new ConsensusMessage.Accept("10.0.0.2:7", NUMBER, BASE, false, 11, VOTERS, 1, 3, ITEMS),
                new ConsensusMessage.Accept(null, NUMBER, BASE, true, 11, VOTERS, 0, 1, ITEMS),
                new ConsensusMessage.Accepted(NUMBER),
                new ConsensusMessage.BaseMismatch(NUMBER, BASE, ProposalNumber.ZERO),
                new ConsensusMessage.Committed(NUMBER),
                new ConsensusMessage.Heartbeat(1, NUMBER, BASE, VOTERS, false, true, 2, true, 3, 4),
                new ConsensusMessage.LearnRequest(1),
                new ConsensusMessage.LearnResponse(1, NUMBER, BASE, VOTERS, true),
                new ConsensusMessage.FetchState(NUMBER, 2, 3, List.of(BASE)),
                new ConsensusMessage.StateChunk(NUMBER, 2, BASE, 11, 0, 2, VOTERS, ITEMS),
                new ConsensusMessage.StateChunk(NUMBER, 2, null, 11, 0, 2, VOTERS, ITEMS),
                new ConsensusMessage.StateUnavailable(NUMBER),
                new ConsensusMessage.JoinRequest(BASE),
                new ConsensusMessage.LeaveNotice(1));
    }

    private static ConsensusMessage decode(Map<String, Object> message) {
        return ConsensusMessageCodec.decode(ConsensusMessageCodec.kind(message).orElseThrow(), message)
                .orElseThrow();
    }

    @ParameterizedTest
    @MethodSource("messages")
    void decodesWhatItEncodes(ConsensusMessage message) {
        assertThat(decode(JsonCopy.map(ConsensusMessageCodec.encode(message)))).isEqualTo(message);
    }

    @ParameterizedTest
    @MethodSource("messages")
    void rejectsAMessageThatLacksAField(ConsensusMessage message) {
        List<String> optional = List.of("t", "to", "probe");
        Map<String, Object> encoded = ConsensusMessageCodec.encode(message);
        for (String field : encoded.keySet()) {
            boolean unusedBySnapshot = Boolean.TRUE.equals(encoded.get("whole")) && field.equals("sum")
                    || "".equals(encoded.get("from")) && field.equals("ask");
            if (!optional.contains(field) && !unusedBySnapshot) {
                Map<String, Object> incomplete = JsonCopy.map(encoded);
                incomplete.remove(field);
                assertThatThrownBy(() -> decode(incomplete)).as(field).isInstanceOf(IllegalArgumentException.class);
            }
        }
    }

    @Test
    void readsAHeartbeatThatDoesNotSayWhetherAReplyIsRequested() {
        ConsensusMessage.Heartbeat heartbeat =
                new ConsensusMessage.Heartbeat(1, NUMBER, BASE, VOTERS, false, true, 2, false, 3, 4);
        Map<String, Object> message = ConsensusMessageCodec.encode(heartbeat);
        message.remove("probe");
        assertThat(decode(message)).isEqualTo(heartbeat);
    }

    @Test
    void unknownKindsAreNotDecoded() {
        assertThat(ConsensusMessageCodec.decode("copies.other", Map.of())).isEmpty();
        assertThat(ConsensusMessageCodec.kind(Map.of("t", 5L))).isEmpty();
    }
}
