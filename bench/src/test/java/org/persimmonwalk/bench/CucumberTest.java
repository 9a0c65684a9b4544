package org.persimmonwalk.bench;

import org.junit.platform.suite.api.IncludeEngines;
import org.junit.platform.suite.api.SelectClasspathResource;
import org.junit.platform.suite.api.Suite;

/** Runs the acceptance features. */
@Suite
@IncludeEngines("cucumber")
@SelectClasspathResource("features")
class CucumberTest {}
