package org.cypressweir.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Checks that the class list for the class-data archive names only existing classes. The compiler renumbers lambdas
 * with each change of their class; a wrong entry is ignored without a message, and the lambda is then linked while
 * requests wait.
 */
class ClassListTest {

    private static boolean exists(String owner, String method) {
        try {
            Class<?> c = Class.forName(owner.replace('/', '.'), false, ClassListTest.class.getClassLoader());
            return method == null
                    || method.equals("<init>")
                    || Arrays.stream(c.getDeclaredMethods())
                            .anyMatch(m -> m.getName().equals(method))
                    || Arrays.stream(c.getMethods()).anyMatch(m -> m.getName().equals(method));
        } catch (ClassNotFoundException e) {
            return false;
        }
    }

    @Test
    void listNamesOnlyExistingClasses() throws Exception {
        List<String> stale = new ArrayList<>();
        int lambdas = 0;
        for (String line : Files.readAllLines(Path.of("deploy/classes.lst"))) {
            if (line.startsWith("org/cypressweir/") && !exists(line.split(" ")[0], null)) {
                stale.add(line);
            }
            // @lambda-proxy CALLER NAME FACTORY TYPE KIND OWNER METHOD ...
            String[] words = line.split(" ");
            if (line.startsWith("@lambda-proxy org/cypressweir/")) {
                lambdas++;
                if (!exists(words[1], null) || words[6].startsWith("org/cypressweir/") && !exists(words[6], words[7])) {
                    stale.add(line);
                }
            }
        }
        assertEquals(List.of(), stale, "regenerate the list as described in docs/sidecar.md");
        assertTrue(lambdas >= 60, lambdas + " lambdas");
    }
}
