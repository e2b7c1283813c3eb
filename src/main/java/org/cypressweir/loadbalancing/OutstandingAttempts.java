package org.cypressweir.loadbalancing;

import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.PriorityQueue;
import java.util.Set;
import org.cypressweir.loadbalancing.LoadBalancer.Result;

/**
 * Attempts without an answer: those sent a moment ago in the order of sending, the slow ones in the order in
 * which they will hang. So a look for those that hang costs the same however many are out.
 */
final class OutstandingAttempts {

    private final Set<Attempt> sent = new LinkedHashSet<>();
    /** Those that have ended since are passed over. */
    private final PriorityQueue<Attempt> slow =
            new PriorityQueue<>(Comparator.comparingLong(attempt -> attempt.hangsAt));

    /** An attempt is sent: it is out for its request and its server. */
    void sent(Attempt attempt) {
        sent.add(attempt);
        attempt.request.attempts.add(attempt);
        attempt.request.attemptsOut++;
        attempt.backend.inFlight.addLast(attempt);
    }

    /** The answer has begun to stream: the attempt says nothing of its server any more. */
    void streams(Attempt attempt) {
        attempt.request.isStreaming = true;
        attempt.backend.inFlight.remove(attempt);
        sent.remove(attempt);
    }

    void ended(Attempt attempt, Result result) {
        attempt.result = result;
        attempt.request.attemptsOut--;
        attempt.backend.inFlight.remove(attempt);
        attempt.backend.hangingAttempts -= attempt.isSuspected ? 1 : 0;
        sent.remove(attempt);
    }

    /** Takes what was sent at least so long ago for slow. */
    void findSlow(long now, double ageMicros) {
        for (var each = sent.iterator(); each.hasNext(); each.remove()) {
            Attempt attempt = each.next();
            if (now - attempt.sentAt < ageMicros) {
                break;
            }
            slow.add(attempt);
        }
    }

    /** The next slow one that hangs by now and was not returned before; null without one. */
    Attempt pollHanging(long now) {
        while (!slow.isEmpty() && slow.peek().hangsAt <= now) {
            Attempt attempt = slow.poll();
            if (attempt.result == null && !attempt.isSuspected && !attempt.request.isStreaming) {
                return attempt;
            }
        }
        return null;
    }
}
