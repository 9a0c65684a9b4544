package org.persimmonwalk.internal.control.configuration;

import org.persimmonwalk.blackboard.Blackboard;
import org.persimmonwalk.blackboard.Controller;
import org.persimmonwalk.blackboard.Entries;
import org.persimmonwalk.blackboard.RoundContext;
import org.persimmonwalk.model.Configuration;
import org.persimmonwalk.observation.ConfigurationLoaded;

/** Puts the newest configuration in force; an older one never replaces a newer one. */
public final class ConfigurationController implements Controller {

  private ConfigurationController() {}

  /** Returns the controller. */
  public static ConfigurationController create() {
    return new ConfigurationController();
  }

  @Override
  public void run(Blackboard blackboard, RoundContext context) {
    blackboard
        .observations(ConfigurationLoaded.class)
        .map(ConfigurationLoaded::configuration)
        .forEach(loaded -> putIfNewer(blackboard, loaded));
  }

  private static void putIfNewer(Blackboard blackboard, Configuration loaded) {
    Configuration current = blackboard.get(Entries.CONFIGURATION);
    if (loaded.revision().isNewerThan(current.revision())) {
      blackboard.put(Entries.CONFIGURATION, loaded);
    }
  }
}
