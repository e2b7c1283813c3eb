package org.cypressweir.dataplane.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.SplittableRandom;
import org.cypressweir.dataplane.http.upstream.RejectionReason;
import org.cypressweir.dataplane.http.upstream.RequestOutcome;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Where requests go, and what their clients are told, whatever becomes of their attempts. */
class ServiceRequestHandlerTest {

    private static final RequestOutcome LOST = new RequestOutcome.MayHaveRun("lost");

    private static RequestOutcome notRun(RejectionReason reason) {
        return new RequestOutcome.NotRun(reason, 0);
    }

    @Test
    void picksFollowWhatIsMeasured() {
        ProxyFixture hull = new ProxyFixture(4);
        SplittableRandom random = new SplittableRandom(3);
        hull.server = s -> hull.later(
                (s.target.instance().equals("i0") ? 80_000 : 8_000) + random.nextInt(2_000), () -> s.answers(200));
        List<ProxyFixture.Client> clients = new ArrayList<>();
        for (int i = 0; i < 3_000; i++) {
            clients.add(hull.ask(i % 2 == 0));
            hull.advance(1 + random.nextInt(5_000));
        }
        hull.advance(1_000_000);
        assertThat(clients).allMatch(c -> c.answers.size() == 1 && c.status() == 200);
        List<String> late = hull.sent.subList(hull.sent.size() / 2, hull.sent.size()).stream()
                .map(s -> s.target.instance())
                .toList();
        assertThat(late.stream().filter("i0"::equals).count()).isBetween(1L, late.size() / 12L);
        for (String fast : List.of("i1", "i2", "i3")) {
            assertThat(late.stream().filter(fast::equals).count()).isGreaterThan(late.size() / 6L);
        }
        assertThat(hull.helm().open()).isZero();
    }

    @Test
    void whatMayHaveRunAndCanNotBeRepeatedIsNeverSentAgain() {
        ProxyFixture hull = new ProxyFixture(3);
        ProxyFixture.Client client = hull.ask(false);
        hull.advance(5_000);
        hull.sent.get(0).ends(LOST);
        hull.advance(3 * ProxyFixture.LEFT);
        assertThat(hull.sent).hasSize(1);
        assertThat(client.answers).hasSize(1);
        assertThat(client.status()).isEqualTo(502);
        assertThat(client.retryAfter()).isNull();
        assertThat(hull.helm().open()).isZero();
    }

    @Test
    void whatIsSilentAndCanNotBeRepeatedIsTimedOut() {
        ProxyFixture hull = new ProxyFixture(3);
        ProxyFixture.Client client = hull.ask(false);
        hull.advance(ProxyFixture.LEFT - 10_000);
        assertThat(client.answers).isEmpty();
        hull.advance(20_000);
        assertThat(client.status()).isEqualTo(504);
        assertThat(hull.sent).hasSize(1);
        hull.sent.get(0).answers(200);
        hull.advance(1_000);
        assertThat(client.answers).hasSize(1);
        assertThat(hull.helm().open()).isZero();
    }

    @ParameterizedTest
    @EnumSource(
            value = RejectionReason.class,
            names = {"FULL", "GONE", "NO_CONNECTION", "MISDIRECTED"})
    void whatHasNotRunGoesToAnother(RejectionReason reason) {
        ProxyFixture hull = new ProxyFixture(3);
        ProxyFixture.Client client = hull.ask(false);
        hull.sent.get(0).ends(notRun(reason));
        hull.advance(100_000);
        assertThat(hull.sent).hasSize(2);
        assertThat(hull.sent.get(1).target).isNotEqualTo(hull.sent.get(0).target);
        assertThat(hull.sent.get(1).freight.instanceId())
                .isEqualTo(hull.sent.get(1).target.instance());
        assertThat(hull.sent.get(1).freight.id())
                .isEqualTo(hull.sent.get(0).freight.id());
        hull.sent.get(1).answers(201);
        hull.advance(0);
        assertThat(client.status()).isEqualTo(201);
    }

    @Test
    void whichWayARequestWentIsKept() {
        ProxyFixture hull = new ProxyFixture(3);
        hull.ask(false);
        hull.advance(2_000);
        assertThat(hull.wake.findById("id1")).isEmpty();
        hull.helm().tell("id1", hull.wake);
        assertThat(hull.wake.findById("id1")).singleElement().asString().contains("answer=none yet", "still out");
        hull.sent.get(0).ends(notRun(RejectionReason.FULL));
        hull.advance(100_000);
        hull.sent.get(1).answers(201);
        hull.advance(0);
        String told = hull.wake.findById("id1").get(1).toString();
        assertThat(told)
                .contains(
                        "route=r",
                        "service=s",
                        "tenant=t",
                        "answer=201",
                        "sentMs=0.0, tookMs=2.0, " + "outcome=not run: full",
                        "outcome=answered",
                        "server=" + hull.sent.get(1).target.instance())
                .doesNotContain("fault");
        assertThat(told.indexOf(hull.sent.get(0).target.pilot())).isLessThan(told.indexOf("outcome=answered"));
        hull.ask(false);
        hull.sent.get(2).ends(LOST);
        hull.advance(0);
        assertThat(hull.wake.findById("id2"))
                .singleElement()
                .asString()
                .contains("answer=502, fault=broken", "outcome=lost");
        for (int i = 0; i < 4; i++) {
            hull.ask(true);
            hull.sent.get(3 + i).answers(200);
            hull.advance(0);
        }
        assertThat(hull.wake.findById("id1")).isEmpty();
        assertThat(hull.wake.findById("id6")).hasSize(1);
    }

    @Test
    void whatCanBeRepeatedIs() {
        ProxyFixture hull = new ProxyFixture(3);
        ProxyFixture.Client client = hull.ask(true);
        hull.sent.get(0).ends(LOST);
        hull.advance(100_000);
        assertThat(hull.sent).hasSize(2);
        assertThat(hull.sent.get(1).target).isNotEqualTo(hull.sent.get(0).target);
        hull.sent.get(1).answers(200);
        hull.advance(0);
        assertThat(client.status()).isEqualTo(200);
    }

    @Test
    void whatCanBeRepeatedAndIsSilentIsCopiedInTime() {
        ProxyFixture hull = new ProxyFixture(3);
        ProxyFixture.Client client = hull.ask(true);
        hull.advance(ProxyFixture.AIM - 10_000);
        assertThat(hull.sent).hasSize(2);
        hull.sent.get(1).answers(200);
        hull.advance(0);
        assertThat(client.status()).isEqualTo(200);
        assertThat(hull.sent.get(0).cancelled).isTrue();
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void whatNobodyHasRoomForIsRefusedInTime(boolean repeatable) {
        ProxyFixture hull = new ProxyFixture(3);
        hull.server = s -> s.ends(notRun(RejectionReason.FULL));
        ProxyFixture.Client client = hull.ask(repeatable);
        hull.advance(ProxyFixture.AIM / 2);
        assertThat(client.status()).isEqualTo(503);
        assertThat(Double.parseDouble(client.retryAfter())).isPositive();
        hull.advance(3 * ProxyFixture.LEFT);
        assertThat(client.answers).hasSize(1);
        assertThat(hull.helm().open()).isZero();
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void whatMayHaveRunIsNeverRefused(boolean repeatable) {
        ProxyFixture hull = new ProxyFixture(3);
        hull.server = s -> s.ends(hull.sent.size() == (repeatable ? 1 : 2) ? LOST : notRun(RejectionReason.FULL));
        ProxyFixture.Client client = hull.ask(repeatable);
        hull.advance(3 * ProxyFixture.LEFT);
        assertThat(hull.sent).hasSizeGreaterThan(1);
        assertThat(client.answers).hasSize(1);
        assertThat(client.status()).isIn(502, 504);
        assertThat(client.retryAfter()).isNull();
        assertThat(hull.helm().open()).isZero();
    }

    @Test
    void withoutServersItIsRefusedAtOnce() {
        ProxyFixture hull = new ProxyFixture(0);
        ProxyFixture.Client client = hull.ask(false);
        assertThat(client.status()).isEqualTo(503);
        assertThat(client.retryAfter()).isNotNull();
        hull.servers(1);
        hull.server = s -> s.answers(200);
        assertThat(hull.ask(false).status()).isEqualTo(200);
    }

    @ParameterizedTest
    @ValueSource(ints = {404, 409, 500, 504})
    void whatTheServerSaysItselfIsHandedOn(int status) {
        ProxyFixture hull = new ProxyFixture(3);
        ProxyFixture.Client client = hull.ask(false);
        hull.sent.get(0).answers(status);
        hull.advance(3 * ProxyFixture.LEFT);
        assertThat(hull.sent).hasSize(1);
        assertThat(client.status()).isEqualTo(status);
    }

    /** Only with its mark does the server say that it did not run; clients would believe the bare status. */
    @ParameterizedTest
    @ValueSource(ints = {408, 429, 503})
    void aPromiseThatTheServerDidNotMakeIsNotHandedOn(int status) {
        ProxyFixture hull = new ProxyFixture(3);
        ProxyFixture.Client client = hull.ask(false);
        hull.sent.get(0).answers(status);
        hull.advance(3 * ProxyFixture.LEFT);
        assertThat(hull.sent).hasSize(1);
        assertThat(client.status()).isEqualTo(502);
        ProxyFixture.Client other = hull.ask(true);
        hull.server = s -> s.answers(status);
        hull.sent.get(1).answers(status);
        hull.advance(3 * ProxyFixture.LEFT);
        assertThat(other.status()).isEqualTo(status);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void whoHasLeftIsAnsweredNoMore(boolean repeatable) {
        ProxyFixture hull = new ProxyFixture(3);
        ProxyFixture.Client client = hull.ask(repeatable);
        hull.advance(10_000);
        client.leaves();
        hull.advance(0);
        assertThat(hull.sent.get(0).cancelled).isTrue();
        hull.sent.get(0).ends(repeatable ? notRun(RejectionReason.CANCELLED) : LOST);
        hull.advance(3 * ProxyFixture.LEFT);
        assertThat(hull.sent).hasSize(1);
        assertThat(client.answers).isEmpty();
        assertThat(hull.helm().open()).isZero();
    }

    /** Whatever becomes of attempts, and whatever servers come and go meanwhile. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void eachRequestHasOneTrueAnswer(long seed) {
        ProxyFixture hull = new ProxyFixture(3);
        SplittableRandom random = new SplittableRandom(seed);
        List<RejectionReason> reasons = List.copyOf(EnumSet.allOf(RejectionReason.class));
        hull.server = s -> {
            int fate = random.nextInt(10);
            Runnable end = fate < 5
                    ? () -> s.answers(200)
                    : fate == 5
                            ? () -> s.answers(500)
                            : fate == 6
                                    ? () -> s.ends(LOST)
                                    : fate == 7
                                            ? () -> {}
                                            : () -> s.ends(notRun(reasons.get(random.nextInt(reasons.size()))));
            if (random.nextInt(3) == 0) {
                end.run();
            } else {
                hull.later(random.nextInt(300_000), end);
            }
        };
        List<ProxyFixture.Client> clients = new ArrayList<>();
        for (int i = 0; i < 2_000; i++) {
            clients.add(hull.ask(i % 2 == 0));
            hull.advance(random.nextInt(10_000));
            if (i % 50 == 0) {
                hull.servers(random.nextInt(5));
            }
        }
        hull.advance(3 * ProxyFixture.LEFT);
        for (int i = 0; i < clients.size(); i++) {
            ProxyFixture.Client client = clients.get(i);
            List<ProxyFixture.Sent> tries = hull.attempts("id" + (i + 1));
            assertThat(client.answers).hasSize(1);
            assertThat(tries).hasSizeLessThanOrEqualTo(i % 2 == 0 ? 4 : 3);
            boolean refused = client.retryAfter() != null;
            assertThat(refused).isEqualTo(client.status() == 503);
            if (refused) {
                assertThat(tries).allMatch(ProxyFixture.Sent::hasNotRun);
            } else if (client.status() < 502) {
                assertThat(tries)
                        .anyMatch(s -> s.outcome instanceof RequestOutcome.Answered a && a.status() == client.status());
            } else {
                assertThat(client.status()).isIn(502, 504);
                assertThat(tries).anyMatch(s -> !s.hasNotRun());
            }
        }
    }
}
