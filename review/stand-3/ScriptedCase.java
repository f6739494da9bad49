package review;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** The frame of a case: the stand-ins, the instances and the record, all of which end with it. */
public abstract class ScriptedCase {

    /** The exit status if the rule held. */
    protected static final int HELD = 0;

    /** The exit status if the rule was broken. */
    protected static final int BROKEN = 1;

    /** The exit status if the case could not run. */
    protected static final int NOT_RUN = 2;

    /** Whether the disruption takes place. */
    protected final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

    /** The record. */
    protected Log log;

    /** The store. */
    protected Store store;

    /** The instances. */
    protected Fleet fleet;

    /** The servers. */
    protected final List<Engine> engines = new ArrayList<>();

    /** Plays the case; returns the exit status. */
    protected abstract int play() throws Exception;

    /** Runs the case, with its record in the given folder, and ends this process with the exit status. */
    protected final void run(String folder) {
        int status = NOT_RUN;
        try (Log record = new Log(Path.of(folder, "record.txt"));
                Store table = new Store();
                Fleet instances = new Fleet(record)) {
            log = record;
            store = table;
            fleet = instances;
            log.line(trouble ? "with the disruption" : "without the disruption");
            status = play();
            log.line(status == BROKEN ? "the rule was broken" : status == HELD ? "the rule held" : "could not run");
            for (Engine engine : engines) {
                engine.close();
            }
        } catch (Exception exception) {
            exception.printStackTrace();
            status = NOT_RUN;
        }
        System.exit(status);
    }

    /** Returns whether any server runs a request now. */
    protected final boolean anyRunning() {
        return engines.stream().anyMatch(engine -> engine.running() > 0);
    }

    /** Returns the number of runs that began at all servers so far. */
    protected final int begun() {
        return engines.stream().mapToInt(engine -> engine.runs().size()).sum();
    }

    /** Waits for some milliseconds. */
    protected static void pause(long millis) throws InterruptedException {
        Thread.sleep(millis);
    }
}
