package org.cypressweir.dataplane.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.lang.reflect.Method;
import java.nio.file.Path;
import java.util.List;
import org.cypressweir.testkit.PlantedFault;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Random histories violate no rule, except where a fault is planted. */
class RequestHistoriesTest {

    private static final int HISTORIES = Integer.getInteger("voyages", 8);
    private static final int REQUESTS = 1_500;

    @TempDir
    Path folder;

    @Test
    void noRuleIsViolated() {
        assertThat(RequestHistories.violations(HISTORIES, REQUESTS)).isEmpty();
    }

    /** Some history ends with each of the rules that the fault breaks, and the first one with no other rule. */
    @ParameterizedTest(name = "{1}")
    @CsvSource(
            delimiter = '~',
            value = {
                "REFUSED ~ a request that may have run is rejected ~ dataplane/http/upstream/RequestState.java "
                        + "~ if (!mayHaveRun()) { ~ if (true) {",
                "REFUSED ~ an unmarked rejection is forwarded ~ dataplane/http/upstream/RequestState.java "
                        + "~ if (!idempotent && impliesNotRun(response.status())) { ~ if (false) {",
                "REFUSED ~ every request counts as idempotent ~ dataplane/http/upstream/RequestState.java "
                        + "~ this.idempotent = idempotent; "
                        + "~ this.idempotent = true;",
                "REFUSED ~ a request in flight counts as not run ~ dataplane/http/upstream/ExecutionKnowledge.java "
                        + "~ return this == SENT || this == RAN "
                        + "~ return this == RAN",
                "REFUSED ~ a request that may have run counts as not run "
                        + "~ dataplane/http/upstream/ExecutionKnowledge.java ~ ? RAN : MAY_HAVE_RUN ~ ? RAN : NOT_RUN",
                "TWICE ~ a lost connection says not run ~ dataplane/http/upstream/ExecutionKnowledge.java "
                        + "~ this == SENT ? MAY_HAVE_RUN "
                        + "~ this == SENT ? NOT_RUN",
                "MIXED ~ ids are not compared ~ dataplane/http/upstream/ResponseVerdict.java "
                        + "~ !ids.get(0).strip().equals(request.attemptId) ~ false",
                "MIXED ~ the seal is not required ~ dataplane/http/upstream/ResponseVerdict.java "
                        + "~ && !response.has(SERVER_SEAL) ~ && false",
                "MIXED ~ an encoded body is accepted ~ dataplane/http/upstream/ResponseVerdict.java "
                        + "~ response.has(\"Content-Encoding\") ~ false",
                "TWICE ~ a success that is marked as not run is believed "
                        + "~ dataplane/http/upstream/ResponseVerdict.java ~ if (notExecuted && status < 400) { "
                        + "~ if (false) {",
                "TWICE ~ an unmarked 503 says not run ~ dataplane/http/upstream/ResponseVerdict.java "
                        + "~ if (notExecuted || status == 421) "
                        + "~ if (notExecuted || status == 421 || status == 503)",
                "TWICE ~ a broken response says not run ~ dataplane/http/upstream/ResponseVerdict.java "
                        + "~ new RequestOutcome.MayHaveRun(why) "
                        + "~ new RequestOutcome.NotRun(RejectionReason.REFUSED, 0)",
                "TWICE REFUSED ~ a rejected request stays in the queue ~ dataplane/http/upstream/RequestScheduler.java "
                        + "~ queue.remove(last); ~ ",
                "UNASKED ~ the query is omitted ~ dataplane/http/upstream/RequestEncoder.java ~ append(request.uri()) "
                        + "~ append(request.uri().split(\"[?]\")[0])",
                "UNASKED ~ the body is truncated ~ dataplane/http/upstream/RequestEncoder.java "
                        + "~ Unpooled.wrappedBuffer(request.body()) "
                        + "~ Unpooled.wrappedBuffer(request.body(), 0, 4)",
                "LOST ~ a rejection is not sent ~ dataplane/proxy/InFlightRequests.java "
                        + "~ finish(request, retryAfterMicros); ~ requests.remove(number);",
            })
    void eachPlantedFaultIsFound(String rules, String fault, String file, String text, String replacement)
            throws Exception {
        Path sources = Path.of("src/main/java/org/cypressweir").resolve(file);
        ClassLoader planted = new PlantedFault(
                folder,
                sources.getParent(),
                sources.getFileName().toString(),
                text,
                replacement == null ? "" : replacement,
                name -> name.startsWith("org.cypressweir.dataplane.http.upstream.")
                        || name.startsWith("org.cypressweir.dataplane.proxy."));
        Method method = planted.loadClass("org.cypressweir.dataplane.proxy.RequestHistories")
                .getMethod("violations", int.class, int.class);
        List<?> violations = (List<?>) method.invoke(null, HISTORIES, REQUESTS);
        List<String> violatedRules = violations.stream()
                .map(violation -> violation.toString().split(": ")[1])
                .toList();
        assertThat(violatedRules).as("%s: %s", fault, violations).contains(rules.split(" "));
        assertThat(violatedRules.get(0)).as("%s: %s", fault, violations).isIn((Object[]) rules.split(" "));
    }
}
