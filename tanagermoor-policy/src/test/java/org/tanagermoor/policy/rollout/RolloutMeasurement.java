package org.tanagermoor.policy.rollout;

import java.io.PrintStream;
import java.util.Locale;
import org.tanagermoor.policy.rollout.RolloutModel.Day;
import org.tanagermoor.policy.rollout.RolloutModel.Result;
import org.tanagermoor.policy.rollout.RolloutModel.Version;

/** Prints the error rates and the exposure of the decision on roll-outs by version, day, rate and duration. */
final class RolloutMeasurement {

    private static final int[] RATES = {30, 140, 1_000};

    private static final int[] SECONDS = {12, 30, 120};

    private RolloutMeasurement() {}

    public static void main(String[] arguments) {
        int seeds = Integer.parseInt(arguments[0]);
        int maximum = Integer.parseInt(arguments[1]);
        for (int rate : RATES) {
            for (int seconds : SECONDS) {
                if (rate * seconds > maximum) {
                    continue;
                }
                for (Version version : Version.values()) {
                    for (Day day : version == Version.GOOD ? Day.values() : new Day[] {Day.USUAL}) {
                        measure(rate, seconds, version, day, seeds, System.out);
                    }
                }
            }
        }
    }

    private static void measure(int rate, int seconds, Version version, Day day, int seeds, PrintStream out) {
        int completed = 0;
        int rolledBack = 0;
        int intime = 0;
        int moved = 0;
        int over = 0;
        int late = 0;
        int overGoal = 0;
        double worst = 0;
        double canary = 0;
        for (int seed = 0; seed < seeds; seed++) {
            Result result = RolloutModel.run(rate, seconds, version, day, seed);
            completed += result.completed() ? 1 : 0;
            rolledBack += result.rolledBack() ? 1 : 0;
            intime += result.completed() && result.endedAt() <= seconds ? 1 : 0;
            moved += result.movedAt() <= seconds ? 1 : 0;
            over += result.newRequests() > result.exposureBound() ? 1 : 0;
            if (System.getProperty("why") != null && version == Version.GOOD && !result.completed()) {
                System.out.println("   " + seed + " " + result.endedAt() + " "
                        + result.ends().toString().substring(0, 100));
            }
            late += result.lateAfterBad() > 0 ? 1 : 0;
            overGoal += result.newRequests() > 0.05 * result.all() ? 1 : 0;
            worst = Math.max(worst, result.newRequests() / result.exposureBound());
            canary += result.newInCanary();
        }
        if (System.getProperty("brief") != null
                && (version == Version.GOOD
                        ? completed == seeds && moved == seeds
                        : rolledBack == seeds && over == 0 && late == 0)) {
            return;
        }
        out.printf(
                Locale.ROOT,
                "%4d/s %3d s %-19s %-21s completed %3d in time %3d rolled back %3d moved %3d | canary %6.1f"
                        + " over bound %d (worst %.2f) late %d over 0.05 %d%n",
                rate,
                seconds,
                version,
                day,
                completed,
                intime,
                rolledBack,
                moved,
                canary / seeds,
                over,
                worst,
                late,
                overGoal);
    }
}
