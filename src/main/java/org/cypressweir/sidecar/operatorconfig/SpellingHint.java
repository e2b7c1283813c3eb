package org.cypressweir.sidecar.operatorconfig;

import java.util.Collection;
import java.util.Comparator;

/** Suggests the known word closest to a misspelled one. */
final class SpellingHint {

    private SpellingHint() {}

    /** Returns {@code "; did you mean 'x'?"}, or an empty text if no known word is close enough. */
    static String didYouMean(String word, Collection<String> known) {
        int maxDistance = Math.max(1, Math.min(3, word.length() / 2));
        return known.stream()
                .filter(k -> distance(word, k) <= maxDistance)
                .min(Comparator.<String>comparingInt(k -> distance(word, k)).thenComparing(k -> k))
                .map(k -> "; did you mean '" + k + "'?")
                .orElse("");
    }

    /** Restricted Damerau-Levenshtein distance (optimal string alignment): swapping adjacent characters costs 1. */
    static int distance(String a, String b) {
        int[][] distances = new int[a.length() + 1][b.length() + 1];
        for (int i = 0; i <= a.length(); i++) {
            distances[i][0] = i;
        }
        for (int j = 0; j <= b.length(); j++) {
            distances[0][j] = j;
        }
        for (int i = 1; i <= a.length(); i++) {
            for (int j = 1; j <= b.length(); j++) {
                int substitutionCost = a.charAt(i - 1) == b.charAt(j - 1) ? 0 : 1;
                distances[i][j] = Math.min(
                        Math.min(distances[i - 1][j], distances[i][j - 1]) + 1,
                        distances[i - 1][j - 1] + substitutionCost);
                if (i > 1 && j > 1 && a.charAt(i - 1) == b.charAt(j - 2) && a.charAt(i - 2) == b.charAt(j - 1)) {
                    distances[i][j] = Math.min(distances[i][j], distances[i - 2][j - 2] + 1);
                }
            }
        }
        return distances[a.length()][b.length()];
    }
}
