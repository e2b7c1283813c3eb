package larkbank.harbour;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import larkbank.copies.Ballot;
import larkbank.copies.ProposalResult;
import larkbank.gangway.Answer;
import larkbank.golden.Golden;
import larkbank.manifest.Item;
import larkbank.manifest.Key;
import larkbank.manifest.Kind;
import larkbank.manifest.Manifest;
import larkbank.manifest.Refusal;
import larkbank.manifest.Table;
import org.junit.jupiter.api.Test;

/** The controller's answers to operators, with the kind of error in each. */
class GoldenOperatorAnswersTest {

    private static final Manifest MANIFEST = Manifest.of(List.of(
            new Item(new Key(Table.ROUTES, "orders"), 1, Map.of("prefix", "/orders")),
            new Item(new Key(Table.SERVICES, "till"), 2, null)));

    private static String line(ProposalResult result) {
        Answer answer = OperatorDesk.answer(result);
        return answer.status() + " " + answer.headers() + " " + new String(answer.body(), StandardCharsets.UTF_8);
    }

    @Test
    void answersAreTheSame() {
        List<String> lines = new ArrayList<>();
        lines.add(line(new ProposalResult.Taken(new Ballot(4, "10.0.0.1:7"))));
        lines.add(line(new ProposalResult.Read(MANIFEST)));
        lines.add(line(new ProposalResult.Unavailable("no majority")));
        Stream.of(Kind.values())
                .forEach(kind -> lines.add(line(new ProposalResult.Refused(new Refusal(kind, "a reason")))));
        Golden.assertSame("messages/operator-answers.txt", lines);
    }
}
