package org.cypressweir.testkit;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import java.util.stream.Stream;
import javax.tools.JavaCompiler;
import javax.tools.ToolProvider;
import org.junit.jupiter.api.Assertions;

/**
 * A class loader for a package with a fault planted in it: the sources of the package are copied, one text is replaced,
 * and the classes compiled from them take precedence over the program's own.
 */
public final class PlantedFault extends ClassLoader {

    private final Path classes;
    private final Predicate<String> reloaded;

    /**
     * @param folder where the copied sources and the compiled classes are put
     * @param sources the folder of the package's sources
     * @param file the source file that is changed; it must contain the text exactly once, white space ignored
     * @param text the text to replace
     * @param replacement the text that plants the fault
     * @param reloaded which other classes this loader loads as well, so that they use the changed ones
     */
    public PlantedFault(
            Path folder, Path sources, String file, String text, String replacement, Predicate<String> reloaded)
            throws IOException {
        super(PlantedFault.class.getClassLoader());
        this.reloaded = reloaded;
        classes = folder.resolve("classes");
        Path copies = Files.createDirectories(folder.resolve("sources"));
        Files.createDirectories(classes);
        List<String> arguments = new ArrayList<>(List.of(
                "-d", classes.toString(), "-nowarn", "-proc:none", "-cp", System.getProperty("java.class.path")));
        try (Stream<Path> files = Files.list(sources)) {
            for (Path source : files.toList()) {
                String code = Files.readString(source);
                if (source.getFileName().toString().equals(file)) {
                    code = replaceOnce(code, text, replacement, file);
                }
                Path copy = copies.resolve(source.getFileName());
                Files.writeString(copy, code);
                arguments.add(copy.toString());
            }
        }
        JavaCompiler compiler = ToolProvider.getSystemJavaCompiler();
        Assertions.assertEquals(
                0,
                compiler.run(new ByteArrayInputStream(new byte[0]), null, null, arguments.toArray(new String[0])),
                "does not compile: " + replacement);
    }

    /** Replaces the only occurrence of the text, ignoring white space on both sides. */
    private static String replaceOnce(String code, String text, String replacement, String file) {
        StringBuilder withoutWhitespace = new StringBuilder();
        List<Integer> positions = new ArrayList<>();
        for (int i = 0; i < code.length(); i++) {
            if (!Character.isWhitespace(code.charAt(i))) {
                withoutWhitespace.append(code.charAt(i));
                positions.add(i);
            }
        }
        String wanted = text.replaceAll("\\s+", "");
        int at = withoutWhitespace.indexOf(wanted);
        Assertions.assertTrue(
                !wanted.isEmpty() && at >= 0 && withoutWhitespace.indexOf(wanted, at + 1) < 0,
                "does not occur exactly once in " + file + ": " + text);
        int end = positions.get(at + wanted.length() - 1) + 1;
        return code.substring(0, positions.get(at)) + replacement + code.substring(end);
    }

    @Override
    protected Class<?> loadClass(String name, boolean resolve) throws ClassNotFoundException {
        synchronized (getClassLoadingLock(name)) {
            Class<?> loaded = findLoadedClass(name);
            Path changed = classes.resolve(name.replace('.', '/') + ".class");
            if (loaded == null && (Files.exists(changed) || reloaded.test(name))) {
                try (InputStream in = Files.exists(changed)
                        ? Files.newInputStream(changed)
                        : getParent().getResourceAsStream(name.replace('.', '/') + ".class")) {
                    byte[] bytes = in.readAllBytes();
                    loaded = defineClass(name, bytes, 0, bytes.length);
                } catch (IOException e) {
                    throw new ClassNotFoundException(name, e);
                }
            }
            return loaded == null ? super.loadClass(name, resolve) : loaded;
        }
    }
}
