package larkbank.copies;

import java.util.List;
import java.util.stream.Stream;

/** What should change about the crew: at most one harbour in, or one out. */
final class CrewWish {

    static final int LEAST_TO_TAKE_OUT = 4;

    private final Desk desk;
    private String in;
    private long inUntil;
    private String out;

    CrewWish(Desk desk) {
        this.desk = desk;
    }

    /** Somebody asks to be let in; that holds for a while. */
    void letIn(String harbour) {
        if (in == null || desk.now >= inUntil || in.equals(harbour)) {
            in = harbour;
            inUntil = desk.now + 2 * desk.plan.askEvery();
        }
    }

    void takeOut(String harbour) {
        out = harbour;
    }

    /** The crew that should come after that one. */
    List<String> of(List<String> crew) {
        if (in != null && desk.now < inUntil && !crew.contains(in)) {
            return Stream.concat(crew.stream(), Stream.of(in)).sorted().toList();
        }
        if (out != null && crew.contains(out) && crew.size() >= LEAST_TO_TAKE_OUT) {
            return crew.stream().filter(m -> !m.equals(out)).toList();
        }
        return crew;
    }
}
