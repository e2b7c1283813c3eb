package org.cypressweir.meshctl.command;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class TablePrinterTest {

    private final TablePrinter table = new TablePrinter(
            List.of("name", "slots", "voters"),
            List.of(
                    Map.of("name", "b", "slots", 10L, "voters", List.of("x", "y")),
                    Map.of("name", "a\u001b", "slots", 9L)));

    @Test
    void columnsAreAlignedAndNumbersToTheRight() {
        assertThat(table.lines()).containsExactly("name  slots  voters", "b        10  x,y", "a?        9");
    }

    @Test
    void rowsAreFilteredSortedAndReducedToColumns() {
        assertThat(table.sort("slots").select(List.of("slots")).lines()).containsExactly("slots", "    9", "   10");
        assertThat(table.filter("voters", "x,y").rows()).hasSize(1);
    }
}
