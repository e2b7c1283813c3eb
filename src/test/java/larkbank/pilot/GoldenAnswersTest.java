package larkbank.pilot;

import java.nio.charset.StandardCharsets;
import java.util.stream.Stream;
import larkbank.gangway.Answer;
import larkbank.golden.Golden;
import larkbank.lading.Fault;
import org.junit.jupiter.api.Test;

/** The proxy's own answer to clients for each kind of error. */
class GoldenAnswersTest {

    private static final long RETRY_AFTER = 1_234_567;

    private static String line(Fault fault) {
        Answer answer = Answers.of(fault, RETRY_AFTER);
        return answer.status() + " " + answer.headers() + " " + new String(answer.body(), StandardCharsets.UTF_8);
    }

    @Test
    void answersAreTheSame() {
        Golden.assertSame(
                "messages/proxy-error-answers.txt",
                Stream.of(Fault.values()).map(GoldenAnswersTest::line).toList());
    }
}
