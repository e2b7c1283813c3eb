package org.cypressweir.common.util;

import java.io.IOException;
import java.lang.reflect.Proxy;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * SIGHUP, which would end the runtime. The platform has no supported interface for signals; the unsupported
 * one is reached by reflection, since a mention of it in the source is a compiler warning that nothing stops.
 */
public final class ReloadSignal {

    private ReloadSignal() {}

    /**
     * Whether the signal is thrown away before the program sees it: whoever started it had it ignored, as
     * {@code nohup} does, and the runtime keeps to that. Where the system does not say, it is not.
     */
    public static boolean isIgnored() {
        try {
            for (String line : Files.readAllLines(Path.of("/proc/self/status"))) {
                if (line.startsWith("SigIgn:")) {
                    return (Long.parseUnsignedLong(line.substring(7).trim(), 16) & 1) != 0;
                }
            }
        } catch (IOException | NumberFormatException e) {
            return false;
        }
        return false;
    }

    /** From now on each SIGHUP runs the task, on a thread of its own. */
    public static void handle(Runnable task) throws ReflectiveOperationException {
        Class<?> signal = Class.forName("sun.misc.Signal");
        Class<?> handler = Class.forName("sun.misc.SignalHandler");
        Object onSignal = Proxy.newProxyInstance(
                ReloadSignal.class.getClassLoader(),
                new Class<?>[] {handler},
                (self, method, arguments) -> switch (method.getName()) {
                    case "handle" -> {
                        task.run();
                        yield null;
                    }
                    case "equals" -> self == arguments[0];
                    case "hashCode" -> System.identityHashCode(self);
                    default -> "SIGHUP";
                });
        signal.getMethod("handle", signal, handler)
                .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), onSignal);
    }
}
