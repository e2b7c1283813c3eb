package org.cypressweir.sidecar.operatorconfig;

import java.util.Collection;
import java.util.Comparator;

/** The word that an operator may have meant. */
final class Wording {

    private Wording() {}

    /** {@code "; did you mean 'x'?"}, or nothing where no known word is near. */
    static String hint(String word, Collection<String> known) {
        int far = Math.max(1, Math.min(3, word.length() / 2));
        return known.stream()
                .filter(k -> distance(word, k) <= far)
                .min(Comparator.<String>comparingInt(k -> distance(word, k)).thenComparing(k -> k))
                .map(k -> "; did you mean '" + k + "'?")
                .orElse("");
    }

    /** Damerau-Levenshtein, restricted (optimal string alignment): a swap of neighbours counts 1. */
    static int distance(String a, String b) {
        int[][] d = new int[a.length() + 1][b.length() + 1];
        for (int i = 0; i <= a.length(); i++) {
            d[i][0] = i;
        }
        for (int j = 0; j <= b.length(); j++) {
            d[0][j] = j;
        }
        for (int i = 1; i <= a.length(); i++) {
            for (int j = 1; j <= b.length(); j++) {
                int change = a.charAt(i - 1) == b.charAt(j - 1) ? 0 : 1;
                d[i][j] = Math.min(Math.min(d[i - 1][j], d[i][j - 1]) + 1, d[i - 1][j - 1] + change);
                if (i > 1 && j > 1 && a.charAt(i - 1) == b.charAt(j - 2) && a.charAt(i - 2) == b.charAt(j - 1)) {
                    d[i][j] = Math.min(d[i][j], d[i - 2][j - 2] + 1);
                }
            }
        }
        return d[a.length()][b.length()];
    }
}
