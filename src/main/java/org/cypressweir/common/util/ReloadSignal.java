package org.cypressweir.common.util;

import java.io.IOException;
import java.lang.reflect.Proxy;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Handles SIGHUP, on which a daemon by convention reloads its configuration, and which ends the Java runtime if it
 * is not handled.
 *
 * <p>The platform has no supported interface for signals. The unsupported one, {@code sun.misc.Signal}, is reached
 * by reflection, since naming it in the source gives a compiler warning that can't be suppressed.
 */
public final class ReloadSignal {

    private static final String SIGNAL_NAME = "HUP";
    private static final Path PROCESS_STATUS = Path.of("/proc/self/status");
    /** The line of the process status with the bit mask of ignored signals; bit 0 is SIGHUP. */
    private static final String IGNORED_SIGNALS = "SigIgn:";

    private ReloadSignal() {}

    /**
     * Whether the process was started with SIGHUP ignored, as {@code nohup} does; the runtime then never delivers
     * it. False where the system doesn't report it.
     */
    public static boolean isIgnored() {
        try {
            for (String line : Files.readAllLines(PROCESS_STATUS)) {
                if (line.startsWith(IGNORED_SIGNALS)) {
                    String mask = line.substring(IGNORED_SIGNALS.length()).trim();
                    return (Long.parseUnsignedLong(mask, 16) & 1) != 0;
                }
            }
        } catch (IOException | NumberFormatException e) {
            return false;
        }
        return false;
    }

    /**
     * Runs the task on each SIGHUP from now on, on a thread of the runtime.
     *
     * @throws ReflectiveOperationException where this runtime has no signal interface
     */
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
                .invoke(null, signal.getConstructor(String.class).newInstance(SIGNAL_NAME), onSignal);
    }
}
