package org.persimmonwalk.internal.control.primary;

import java.util.HashMap;
import java.util.Map;
import org.persimmonwalk.blackboard.Blackboard;
import org.persimmonwalk.blackboard.Controller;
import org.persimmonwalk.blackboard.Entries;
import org.persimmonwalk.blackboard.RoundContext;
import org.persimmonwalk.id.DatabaseGroupId;
import org.persimmonwalk.id.EntryHostId;
import org.persimmonwalk.model.GroupView;
import org.persimmonwalk.model.Promotion;

/**
 * Promotes a new primary in groups whose primary has failed. It runs after the controller that
 * writes {@link Entries#GROUPS}; the state of each promotion is in entry {@link
 * Entries#PROMOTIONS}.
 */
public final class PrimaryController implements Controller {
  private final EntryHostId host;
  private final PromotionSettings settings;

  private PrimaryController(EntryHostId host, PromotionSettings settings) {
    this.host = host;
    this.settings = settings;
  }

  /** Returns the controller of the given entry host. */
  public static PrimaryController of(EntryHostId host, PromotionSettings settings) {
    return new PrimaryController(host, settings);
  }

  @Override
  public void run(Blackboard blackboard, RoundContext context) {
    Map<DatabaseGroupId, Promotion> known = blackboard.get(Entries.PROMOTIONS);
    Map<DatabaseGroupId, Promotion> next = new HashMap<>();
    for (GroupView group : blackboard.get(Entries.GROUPS).values()) {
      Promotion promotion = known.getOrDefault(group.id(), Promotion.idle(group.id()));
      Promotion advanced =
          PromotionStateMachine.of(host, settings, group, blackboard, context).advance(promotion);
      if (!advanced.isIdle()) {
        next.put(group.id(), advanced);
      }
    }
    if (!next.equals(known)) {
      blackboard.put(Entries.PROMOTIONS, Map.copyOf(next));
    }
  }
}
