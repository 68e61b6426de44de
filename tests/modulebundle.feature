Feature: Start from a bundle of modules
  A host on a small machine spends its start on reading module files.

  Scenario: A host imports its modules from the bundle
    # Guards against a bundle that lacks modules, so that starts are slow again.
    Given a bundle of the modules that a start imports
    When a process installs the bundle and imports the host
    Then no module of the package is read from its file but those before the bundle

  Scenario: Submodules that are not in the bundle are still found
    # Guards against packages whose compiled parts cannot be imported.
    Given a bundle of the modules that a start imports
    When a process installs the bundle and uses the compiled libraries
    Then it succeeds

  Scenario Outline: A bundle that cannot be used is ignored
    # Guards against a host that does not start because of its bundle.
    Given a bundle that <fault>
    When a process installs the bundle and imports the host
    Then it says that no bundle is used, and the host is imported from its files

    Examples:
      | fault                          |
      | is missing                     |
      | is truncated                   |
      | is of another interpreter      |
      | holds something else           |
