package org.tanagermoor.budget;

import io.vavr.control.Either;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.tanagermoor.kernel.plugin.Context;
import org.tanagermoor.kernel.plugin.Plugin;
import org.tanagermoor.kernel.setting.Setting;
import org.tanagermoor.membership.Membership;

/** The plug-in that shares rate budgets between the instances. */
public final class BudgetPlugin implements Plugin {

    /** The name by which settings and other plug-ins refer to this plug-in. */
    public static final String NAME = "budget";

    /** Selects how budgets are shared between the instances. */
    public static final Setting<Mode> MODE = new Setting<>(
            "budget-mode", "how budgets are shared between instances: lent or static", "lent", BudgetPlugin::mode);

    /** The budgets in mode {@code lent}, or {@code null} before the start and in the other mode. */
    @Nullable
    private LentBudgets lent;

    /** {@inheritDoc} */
    @Override
    public String name() {
        return NAME;
    }

    /** {@inheritDoc} */
    @Override
    public Set<String> requires() {
        return Set.of("wire", "membership");
    }

    /** {@inheritDoc} */
    @Override
    public List<Setting<?>> settings() {
        return List.of(MODE);
    }

    /** {@inheritDoc} */
    @Override
    public void start(Context context) {
        Membership membership = context.service(Membership.class);
        Mode mode = context.settings().value(MODE);
        if (mode == Mode.LENT) {
            LentBudgets started = new LentBudgets(context);
            lent = started;
            context.register(Budgets.class, started);
        } else {
            context.register(Budgets.class, new StaticBudgets(membership, context.time()));
        }
        context.events().record(BudgetEvent.STARTED, "mode", mode);
    }

    /** {@inheritDoc} */
    @Override
    public void stop() {
        if (lent != null) {
            lent.close();
        }
    }

    private static Either<String, Mode> mode(String text) {
        return switch (text) {
            case "lent" -> Either.right(Mode.LENT);
            case "static" -> Either.right(Mode.STATIC);
            default -> Either.left("must be lent or static, but is " + text.toLowerCase(Locale.ROOT));
        };
    }

    /** The ways to share a budget between the instances. */
    public enum Mode {

        /** A steward lends shares on demand. */
        LENT,

        /** Each instance has an equal, fixed share. */
        STATIC
    }
}
