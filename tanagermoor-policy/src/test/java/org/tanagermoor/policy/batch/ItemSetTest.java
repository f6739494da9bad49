package org.tanagermoor.policy.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class ItemSetTest {

    private static final int SIZE = 40;

    private static ItemSet set(BitSet bits) {
        return ItemSet.ofIndexes(bits.stream().boxed().toList());
    }

    private static BitSet bits(Random random) {
        BitSet bits = new BitSet();
        IntStream.range(0, SIZE).filter(index -> random.nextInt(3) > 0).forEach(bits::set);
        return bits;
    }

    private static void assertSameItems(ItemSet actual, BitSet expected) {
        assertThat(actual, is(set(expected)));
        assertThat(actual.size(), is(expected.cardinality()));
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
    void agreesWithASetOfBits(long seed) {
        Random random = new Random(seed);
        BitSet first = bits(random);
        BitSet second = bits(random);
        BitSet union = (BitSet) first.clone();
        union.or(second);
        BitSet common = (BitSet) first.clone();
        common.and(second);
        BitSet rest = (BitSet) first.clone();
        rest.andNot(second);
        assertSameItems(set(first).union(set(second)), union);
        assertSameItems(set(first).intersection(set(second)), common);
        assertSameItems(set(first).minus(set(second)), rest);
        assertThat(set(union).containsAll(set(first)), is(true));
        assertThat(set(rest).containsAll(set(first)), is(common.isEmpty()));
        IntStream.range(0, SIZE).forEach(index -> assertThat(set(first).contains(index), is(first.get(index))));
    }

    @ParameterizedTest
    @CsvSource({"1, 1, 0", "2, 1, 1", "7, 4, 3", "40, 20, 20"})
    void isHalvedInOrder(int size, int front, int back) {
        List<Integer> indexes = new ArrayList<>();
        IntStream.range(0, size).forEach(index -> indexes.add(index * 2));
        List<ItemSet> halves = ItemSet.ofIndexes(indexes).halves();
        assertThat(halves.get(0).size(), is(front));
        assertThat(halves.get(1).size(), is(back));
        assertThat(halves.get(0).union(halves.get(1)), is(ItemSet.ofIndexes(indexes)));
    }
}
