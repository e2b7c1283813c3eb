package larkbank.copies;

import java.util.List;

/** Sees which member of a crew of four or more is gone, and whose turn it is to have it taken out. */
final class CrewWatch {

    private final Desk desk;
    private final Peers peers;

    CrewWatch(Desk desk, Peers peers) {
        this.desk = desk;
        this.peers = peers;
    }

    /** Whom this harbour should have taken out, or null. */
    String gone(List<String> crew) {
        String gone = null;
        String lowest = desk.own;
        for (String member : crew) {
            if (member.equals(desk.own)) {
                continue;
            }
            long silence = peers.silence(member);
            if (silence >= desk.plan.silentAfter()) {
                if (gone != null) {
                    return null;
                }
                gone = member;
            } else if (silence > desk.plan.liveWithin()) {
                return null;
            } else if (member.compareTo(lowest) < 0) {
                lowest = member;
            }
        }
        return crew.size() >= CrewWish.LEAST_TO_TAKE_OUT && lowest.equals(desk.own) ? gone : null;
    }
}
