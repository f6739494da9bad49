package org.tanagermoor.gateway.follow;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the local copy of a table. */
final class FollowedTableTest {

    private final FollowedTable table = FollowedTable.of("targets");

    /** Changes that arrive twice, or that a complete copy already contained, are reported once. */
    @Test
    void reportsEachChangeOnce() {
        assertThat(keys(table.replace(List.of(row("a", 3), row("b", 4)), 5)), containsInAnyOrder("a", "b"));
        assertThat(table.apply(List.of(row("a", 3)), 5), is(empty()));
        assertThat(keys(table.apply(List.of(row("a", 6)), 6)), contains("a"));
        assertThat(table.apply(List.of(row("a", 6)), 6), is(empty()));
    }

    /** A complete copy reports the rows that were removed. */
    @Test
    void reportsRemovedRows() {
        table.replace(List.of(row("a", 3), row("b", 4)), 5);
        List<ChangeFeed.Change> changes = table.replace(List.of(row("a", 3)), 9);
        assertThat(keys(changes), contains("b"));
        assertThat(changes.get(0).value() == null, is(true));
    }

    /** An older copy changes nothing. */
    @Test
    void neverGoesBack() {
        table.replace(List.of(row("a", 8)), 9);
        assertThat(table.replace(List.of(row("a", 3)), 5), is(empty()));
        assertThat(table.revision(), is(9L));
        assertThat(table.rows().iterator().next().version(), is(8L));
    }

    /** A removal deletes the row, and the row may be created again. */
    @Test
    void appliesARemovalAndARecreation() {
        table.replace(List.of(row("a", 3)), 3);
        table.apply(List.of(new ChangeFeed.Change("a", 4, null)), 4);
        assertThat(table.rows(), is(empty()));
        table.apply(List.of(row("a", 5)), 5);
        assertThat(table.rows().size(), is(1));
    }

    private static List<String> keys(List<ChangeFeed.Change> changes) {
        return changes.stream().map(ChangeFeed.Change::key).toList();
    }

    private static ChangeFeed.Change row(String key, long version) {
        return new ChangeFeed.Change(key, version, new byte[] {1});
    }
}
