package org.cypressweir.controlplane.controller;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.cypressweir.controlplane.configuration.Configuration;
import org.cypressweir.controlplane.configuration.Item;
import org.cypressweir.controlplane.configuration.ItemKey;
import org.cypressweir.controlplane.configuration.ItemType;
import org.cypressweir.controlplane.configuration.Rejection;
import org.cypressweir.controlplane.configuration.RejectionKind;
import org.cypressweir.controlplane.consensus.ProposalNumber;
import org.cypressweir.controlplane.consensus.ProposalResult;
import org.cypressweir.dataplane.http.server.ServerResponse;
import org.cypressweir.golden.Golden;
import org.junit.jupiter.api.Test;

/** The controller's answers to operators, with the kind of error in each. */
class GoldenOperatorAnswersTest {

    private static final Configuration CONFIGURATION = Configuration.of(List.of(
            new Item(new ItemKey(ItemType.ROUTES, "orders"), 1, Map.of("prefix", "/orders")),
            new Item(new ItemKey(ItemType.SERVICES, "till"), 2, null)));

    private static String line(ProposalResult result) {
        ServerResponse answer = OperatorApiHandler.answer(result);
        return answer.status() + " " + answer.headers() + " " + new String(answer.body(), StandardCharsets.UTF_8);
    }

    @Test
    void answersAreTheSame() {
        List<String> lines = new ArrayList<>();
        lines.add(line(new ProposalResult.Committed(new ProposalNumber(4, "10.0.0.1:7"))));
        lines.add(line(new ProposalResult.Read(CONFIGURATION)));
        lines.add(line(new ProposalResult.Unavailable("no majority")));
        Stream.of(RejectionKind.values())
                .forEach(kind -> lines.add(line(new ProposalResult.Rejected(new Rejection(kind, "a reason")))));
        Golden.assertSame("messages/operator-answers.txt", lines);
    }
}
