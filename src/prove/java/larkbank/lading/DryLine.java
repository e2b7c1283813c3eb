package larkbank.lading;

import io.netty.channel.Channel;
import java.util.function.LongSupplier;

/** A line's end on a channel that somebody else has made. */
public final class DryLine {

    private DryLine() {}

    public static Line on(Channel channel, LongSupplier micros, Line.Ear ear) {
        Line line = new Line(channel, micros, ear);
        line.take();
        return line;
    }
}
