Feature: A configuration is checked before it is sent
  Operators learn of mistakes before any host reads them, and see what a version changes.

  Scenario: A valid configuration of the platform has no findings
    # Guards against a check that blocks a change which is right: a split, a service
    # with a warm-up rate beside one without, and fields of later versions.
    Given a valid configuration of the platform
    When the configuration is checked
    Then the check ends with 0
    And it says "errors=0 warnings=0 changes=0"

  Scenario Outline: What hosts reject is an error with its place
    # Guards against an operator who writes a version that no host applies.
    Given a valid configuration of the platform
    And in it <place> is <value>
    When the configuration is checked
    Then hosts reject the configuration
    And the check ends with 2
    And it finds the error "<found>" at <at>

    Examples: mistake: a field is missing, mistyped or of the wrong type
      | place                         | value               | at        | found                     |
      | version                       | "8"                 | version   | version: missing          |
      | version                       | absent              | version   | found None                |
      | version                       | true                | version   | found True                |
      | version                       | 1e400               | version   | found inf                 |
      | routes                        | absent              | routes    | routes: missing           |
      | routes                        | {}                  | routes    | routes: missing           |
      | routes.1                      | "shop"              | routes[1] | not a JSON object         |
      | routes.1.host                 | "shop.example"      | routes[1] | not an IPv4 address       |
      | routes.1.host                 | "198.18.0.300"      | routes[1] | not an IPv4 address       |
      | routes.1.host                 | absent              | routes[1] | host: missing             |
      | routes.1.prefix               | "/shop/"            | routes[1] | expected a port           |
      | routes.1.prefix               | "/70000/"           | routes[1] | expected a port           |
      | routes.1.prefix               | 443                 | routes[1] | prefix: missing           |
      | routes.0.service              | absent              | routes[0] | service: missing          |
      | routes.0.service              | null                | routes[0] | service: missing          |
      | routes.1.traffic_split        | 5                   | routes[1] | expected a list           |
      | routes.1.traffic_split        | {"service": "sheet"} | routes[1] | expected a list          |
      | routes.1.traffic_split.0      | "sheet"             | routes[1] | not a JSON object         |
      | routes.1.traffic_split.0.weight | "90"              | routes[1] | weight: missing           |
      | routes.1.traffic_split.0.weight | NaN               | routes[1] | weight: missing           |
      | limits.idle_timeout_ms        | "15 s"              | limits    | idle_timeout_ms: missing  |

  Scenario Outline: A file that is no JSON object is an error
    # Guards against sending a file that was truncated, or another file altogether.
    Given a file with <content>
    When the configuration is checked
    Then hosts reject the configuration
    And the check ends with 2
    And it says "error: <found>"

    Examples:
      | content                 | found             |
      | nothing                 | malformed JSON    |
      | a truncated object      | malformed JSON    |
      | a list                  | not a JSON object |
      | bytes that are not text | malformed JSON    |
      | 100000 open brackets    | malformed JSON    |

  Scenario: All errors are reported at once
    # Guards against an operator who corrects one error and sends the next.
    Given a valid configuration of the platform
    And in it version is "8"
    And in it routes.0.host is "nowhere"
    And in it routes.1.prefix is "/shop/"
    And in it limits.idle_timeout_ms is "15 s"
    When the configuration is checked
    Then the check ends with 2
    And the places of its errors are "version limits routes[0] routes[1]"

  Scenario Outline: What hosts accept but cannot apply as written is an error
    # Guards against <mistake>, which hosts accept without a word.
    Given a valid configuration of the platform
    And in it <place> is <value>
    When the configuration is checked
    Then hosts accept the configuration
    And the check ends with 2
    And it finds the error "<found>" at <at>

    Examples: entries that can never match
      | mistake                    | place                           | value     | at                                  | found                      |
      | a copied route             | routes.1.prefix                 | "443"     | routes[0]                           | routes[1] has the same     |
      | a misspelt service         | routes.0.service                | "stok"    | routes[0].service                   | "stok" is not defined      |
      | a misspelt part            | routes.1.traffic_split.1.service | "stok"   | routes[1].traffic_split[1].service  | "stok" is not defined      |
      | a service twice in a split | routes.1.traffic_split.1.service | "sheet"  | routes[1].traffic_split[1].service  | in this split already      |
      | a service that was copied  | services.1.name                 | "stock"   | services[1].name                    | "stock" is services[0] too |
      | a split without weights    | routes.1.traffic_split          | [{"service": "sheet", "weight": 0}, {"service": "stock", "weight": 0}] | routes[1].traffic_split | no part has a weight |
      | one part that is turned off | routes.1.traffic_split         | [{"service": "sheet", "weight": 0}] | routes[1].traffic_split[0].weight | gets all flows |
      | a service without a name   | services.1                      | {"nam": "sheet"} | services[1]                  | found no name              |
      | services by name           | services                        | {"stock": {}} | services                        | allowed: a list            |
      | limits in a list           | limits                          | [15000]   | limits                              | allowed: an object         |
      | a version before the first | version                         | 0         | version                             | a whole number from 1      |

    Examples: limits that contradict each other
      | mistake                    | place                       | value | at                          | found                          |
      | a timeout in seconds       | routes.0.timeout_ms         | 3     | routes[0].timeout_ms        | below target_latency_ms 450    |
      | an idle timeout in seconds | limits.idle_timeout_ms      | 15    | routes[0].timeout_ms        | above idle_timeout_ms 15       |
      | no idle timeout            | limits.idle_timeout_ms      | 0     | limits.idle_timeout_ms      | allowed: 1 or more             |
      | a priority below the first | routes.0.priority           | -1    | routes[0].priority          | found -1; allowed: a number from 0 |
      | a quoted number            | routes.0.timeout_ms         | "2800" | routes[0].timeout_ms       | allowed: a number from 0       |
      | a rate without a time      | services.0.warmup_s         | 0     | services[0].warmup_per_s    | no effect without warmup_s     |
      | a rate whose time is left out | services.0.warmup_s      | absent | services[0].warmup_per_s   | no effect without warmup_s     |
      | a warm-up below 0          | services.0.warmup_s         | -2    | services[0].warmup_s        | allowed: a number from 0       |

  Scenario Outline: What may be meant is a warning
    # Guards against <mistake>, and against a check that forbids what an operator means.
    Given a valid configuration of the platform
    And in it <place> is <value>
    When the configuration is checked
    Then hosts accept the configuration
    And the check ends with 0
    And it finds the warning "<found>" at <at>

    Examples:
      | mistake                       | place                           | value  | at                               | found                 |
      | a part that was forgotten     | routes.1.traffic_split.1.weight | 0      | routes[1].traffic_split[1].weight | never matches        |
      | two routes of one name        | routes.1.name                   | "shop" | routes[1].name                   | "shop" is routes[0] too |
      | a misspelt type               | routes.0.type                   | "save" | routes[0].type                   | handled as unsafe     |
      | services that were left out   | services                        | []     | services                         | none is defined       |

  Scenario Outline: A version that is not greater is an error
    # Guards against a change that hosts ignore because its version was not raised.
    Given a valid configuration of the platform
    And in it version is <version>
    When the configuration is checked against version 7
    Then the check ends with <status>
    And it says "<found>"

    Examples:
      | version | status | found                                                |
      | 6       | 2      | found 6; allowed: more than 7, the version in force  |
      | 7       | 2      | found 7; allowed: more than 7, the version in force  |
      | 8       | 0      | errors=0 warnings=0 changes=0                        |

  Scenario: The version is compared although another part is rejected
    # Guards against an operator who corrects a route and then sends an old version.
    Given a valid configuration of the platform
    And in it routes.1.host is "nowhere"
    When the configuration is checked against version 7
    Then the places of its errors are "routes[1] version"
    And it says "warnings=0 changes=0"

  Scenario Outline: Differences from the version in force are listed
    # Guards against <mistake>.
    Given a valid configuration of the platform
    And in it version is 8
    And in it <place> is <value>
    When the configuration is checked against version 7
    Then the check ends with 0
    And it finds only the <severity> "<found>" at <at>

    Examples:
      | mistake                         | place                           | value | severity | at                                        | found                    |
      | a limit changed by accident     | routes.0.timeout_ms             | 2500  | change   | routes[198.18.0.1:443].timeout_ms         | changed from 2800 to 2500 |
      | a field that got lost           | routes.0.type                   | absent | change  | routes[198.18.0.1:443].type               | removed, was "safe"      |
      | a split changed by accident     | routes.1.traffic_split.0.weight | 80    | change   | routes[198.18.0.1:8443].traffic_split     | changed from [{"service": "sheet", "weight": 90} |
      | a warm-up changed by accident   | services.0.warmup_per_s         | 50    | change   | services[stock].warmup_per_s              | changed from 5 to 50     |
      | a service added by accident     | services.2                      | {"name": "price"} | change | services[price]             | added                    |
      | an idle timeout that got lost   | limits.idle_timeout_ms          | absent | change  | limits.idle_timeout_ms                    | removed, was 15000       |
      | a later field that got lost     | later                           | absent | change  | later                                     | removed, was {"x": 1}    |
      | a route with open flows that got lost | routes.1                  | absent | warning | routes[198.18.0.1:8443]                   | may have open flows      |

  Scenario: A route that moves to another address is removed and added
    # Guards against a mistyped address that reads like a harmless change of one field.
    Given a valid configuration of the platform
    And in it version is 8
    And in it routes.1.host is "198.18.0.2"
    When the configuration is checked against version 7
    Then the check ends with 0
    And it finds the warning "may have open flows" at routes[198.18.0.1:8443]
    And it finds the change "added" at routes[198.18.0.2:8443]

  Scenario Outline: Files that cannot be used are errors
    # Guards against a script that takes a missing file for a configuration without errors.
    Given a valid configuration of the platform
    When the check runs with "<arguments>"
    Then the check ends with 2
    And it says "<found>"

    Examples:
      | arguments                        | found                              |
      | missing.json                     | No such file                       |
      | FILE --against missing.json      | No such file                       |
      | FILE --against EMPTY             | the version in force is rejected   |
      | FILE --jsn                       | unrecognized arguments             |
      |                                  | the following arguments are required |

  Scenario: The result as JSON
    # Guards against scripts that have to parse lines.
    Given a valid configuration of the platform
    And in it routes.0.service is "stok"
    When the check runs with "FILE --json"
    Then the check ends with 2
    And its JSON has one finding, an error at "routes[0].service"

  Scenario: Names with control characters stay on one line
    # Guards against a file from elsewhere that forges a line or disturbs the terminal.
    Given a valid configuration of the platform
    And in it services.2 is {"name": "a\nFILE: errors=0 \u001b[2J"}
    And in it version is 8
    When the configuration is checked against version 7
    Then the check ends with 0
    And its output has 2 lines of printable ASCII

  Scenario Outline: Differences of an operator's text from the one in force
    # Guards against <mistake> in the text of the product.
    Given a text of the product in force
    And another text of the product, in which <place> is <value>
    When the text is checked against the one in force
    Then the check ends with <status>
    And it says "<found>"
    And its output has <lines> lines of printable ASCII

    Examples:
      | mistake                       | place                                           | value   | status | found                                                                | lines |
      | a false alarm                 | shard_count                                     | 16      | 0      | valid, services=2 upstreams=3                                        | 1 |
      | a limit changed by accident   | services.stock-browser.deadline_ms              | 500     | 0      | change: services.stock-browser.deadline_ms: changed from 2000 to 500 | 2 |
      | a default that is written out | services.stock-browser.flow_idle_s              | 300     | 0      | .json: valid                                                         | 1 |
      | a weight changed by accident  | services.stock-browser.upstreams.stock-1.weight | 9       | 0      | change: services.stock-browser.upstreams.stock-1.weight: changed from 1.0 to 9.0 | 2 |
      | an upstream that got lost     | services.stock-browser.upstreams.stock-2        | absent  | 0      | change: services.stock-browser.upstreams.stock-2: removed            | 2 |
      | an upstream under a new id    | services.stock-browser.upstreams.stock-3        | {"address": "10.20.0.3:7001", "zone": "brest", "slots": 3} | 0 | change: services.stock-browser.upstreams.stock-3: added | 2 |
      | a service that got lost       | services.price-list                             | absent  | 0      | warning: services.price-list: removed; new flows are refused         | 3 |
      | an idle time below a deadline | services.stock-browser.flow_idle_s              | 1       | 0      | warning: services.stock-browser.flow_idle_s: found 1, shorter than deadline_ms 2000 | 3 |
      | a move to another zone        | services.stock-browser.upstreams.stock-1.zone   | "brest" | 2      | found brest; allowed: quimper for this id, or a new id               | 2 |
      | another shard count           | shard_count                                     | 32      | 2      | found 32; allowed: 16, as in the other text                          | 2 |
      | a misspelt key                | services.stock-browser.deadline                 | 500     | 2      | found an unknown key; allowed: deadline_ms                           | 1 |

  Scenario Outline: A text to compare with that cannot be used is an error
    # Guards against a comparison with nothing, which would show no difference.
    Given a text of the product in force
    When the program runs with "<arguments>"
    Then the check ends with 2
    And it says "<found>"

    Examples:
      | arguments                         | found                                |
      | check FILE --against missing.json | No such file                         |
      | check FILE --against EMPTY        | allowed: JSON                        |
      | check --against FILE              | FILE or --settings FILE is missing   |
