package org.cypressweir.meshctl;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class TablePrinterTest {

    private final TablePrinter sheet = new TablePrinter(
            List.of("name", "slots", "crew"),
            List.of(
                    Map.of("name", "b", "slots", 10L, "crew", List.of("x", "y")),
                    Map.of("name", "a\u001b", "slots", 9L)));

    @Test
    void columnsLineUpAndNumbersGoRight() {
        assertThat(sheet.lines()).containsExactly("name  slots  crew", "b        10  x,y", "a?        9");
    }

    @Test
    void rowsAreChosenSortedAndCut() {
        assertThat(sheet.sorted("slots").cut(List.of("slots")).lines()).containsExactly("slots", "    9", "   10");
        assertThat(sheet.where("crew", "x,y").rows()).hasSize(1);
    }
}
